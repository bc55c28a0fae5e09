package membudget

import (
	"math"
	"time"
)

// AddHeader reserves memory for a part of a header that was read. It returns ErrExhausted or ErrClosed
// if the connection has to be closed. While a request is being served it does nothing.
func (c *Connection) AddHeader(bytes, lines int) error {
	if c == nil {
		return nil
	}
	a := c.account
	a.mu.Lock()
	defer a.mu.Unlock()
	switch c.state {
	case stateClosed:
		return ErrClosed
	case stateBody, stateServing:
		return nil
	case stateIdle:
		c.state = stateHeader
		c.number, c.since = a.nextRequest(), time.Now()
	}
	c.progress.add(time.Now(), int64(bytes))
	n := int64(headerByteCost*bytes + headerLineCost*lines)
	if err := a.makeRoom(c, n, false); err != nil {
		if err == ErrExhausted {
			a.onClose(RefusedHeader)
		}
		return err
	}
	if c.gone {
		return ErrClosed
	}
	a.used += n
	c.headerBytes += n
	return nil
}

// nextRequest returns the number of a request that begins. a.mu must be held.
func (a *Inbound) nextRequest() uint64 {
	a.requests++
	return a.requests
}

// BeginRequest reserves the memory of a request whose header has been read. It returns ErrExhausted or
// ErrClosed if the request has to be refused. EndRequest must be called in any case.
func (c *Connection) BeginRequest(workspace string) error {
	if c == nil {
		return nil
	}
	a := c.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.state == stateClosed {
		return ErrClosed
	}
	if c.state == stateIdle {
		// The header had been read with an earlier request.
		c.number, c.since = a.nextRequest(), time.Now()
	}
	c.state, c.workspace = stateBody, workspace
	if c.parent != nil {
		return a.addRequestBytes(c, streamBytes, false)
	}
	return a.addRequestBytes(c, RequestBytes, false)
}

// addRequestBytes reserves memory until EndRequest. a.mu must be held.
func (a *Inbound) addRequestBytes(c *Connection, bytes int64, wait bool) error {
	if err := a.makeRoom(c, bytes, wait); err != nil {
		if err == ErrExhausted {
			a.onClose(RefusedRequest)
		}
		return err
	}
	if c.gone {
		return ErrClosed
	}
	a.used += bytes
	c.requestBytes += bytes
	return nil
}

// AddWork reserves memory that a request needs besides its headers and body while it is handled. It
// waits for room, and returns ErrExhausted if there is none in time. EndRequest gives the memory back.
func (c *Connection) AddWork(bytes int64) error {
	if c == nil {
		return nil
	}
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	return c.account.addRequestBytes(c, bytes, true)
}

// MaxWorkBytes returns the most that AddWork may be called with: half of the account, so that there is
// room for it beside the connections.
func (c *Connection) MaxWorkBytes() int64 {
	if c == nil {
		return math.MaxInt64
	}
	return c.account.limit / 2
}

// EndWork gives memory back that AddWork has reserved, of buffers that are garbage now.
func (c *Connection) EndWork(bytes int64) {
	if c == nil {
		return
	}
	a := c.account
	a.mu.Lock()
	defer a.mu.Unlock()
	c.requestBytes -= bytes
	a.used -= bytes
	a.garbage.add(bytes)
	a.signalRoom()
}

// AddAnswer reserves memory for an answer that is being written. It returns ErrExhausted at once if there
// is no room: an answer that waited would hold its memory meanwhile. EndAnswer gives the memory back.
func (c *Connection) AddAnswer(bytes int64) error {
	if c == nil {
		return nil
	}
	a := c.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.answers+bytes > a.answerLimit || a.used+bytes > a.limit {
		a.onClose(CutAnswer)
		return ErrExhausted
	}
	a.answers += bytes
	a.used += bytes
	return nil
}

// EndAnswer gives the memory of an answer back.
func (c *Connection) EndAnswer(bytes int64) {
	if c == nil {
		return
	}
	a := c.account
	a.mu.Lock()
	defer a.mu.Unlock()
	a.answers -= bytes
	a.used -= bytes
	a.garbage.add(bytes)
	a.signalRoom()
}

// IsClosed reports whether the request is closed to make room for others.
func (c *Connection) IsClosed() bool {
	if c == nil {
		return false
	}
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	return c.state == stateClosed
}

// Arrived states that the request has arrived completely, so that it is not closed any more. It returns
// ErrClosed if that was decided before.
func (c *Connection) Arrived() error {
	if c == nil {
		return nil
	}
	a := c.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.state == stateClosed {
		return ErrClosed
	}
	c.state = stateServing
	if c.body != nil {
		c.body.finish()
	}
	return nil
}

// EndRequest gives back what the request holds. Its body is given back when all others that use it have
// released it too.
func (c *Connection) EndRequest() {
	if c == nil {
		return
	}
	a := c.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if b := c.body; b != nil {
		c.body = nil
		b.finish()
	}
	a.used -= c.headerBytes + c.requestBytes
	a.garbage.add(c.headerBytes)
	c.headerBytes, c.requestBytes = 0, 0
	c.workspace = ""
	a.signalRoom()
	if c.state == stateClosed {
		c.signalRelease()
		return
	}
	c.state = stateServing
}

// SetIdle states that the next bytes that are read begin a request.
func (c *Connection) SetIdle() {
	if c == nil {
		return
	}
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	if c.state == stateServing {
		c.state, c.since = stateIdle, time.Now()
	}
}
