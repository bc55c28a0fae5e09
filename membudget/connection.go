package membudget

import (
	"math"
	"time"
)

// state is how far the request on a connection has arrived.
type state int

const (
	// stateIdle means that there is no request.
	stateIdle state = iota
	// stateHeader means that a part of the header has arrived.
	stateHeader
	// stateBody means that the header has arrived, and the body has not arrived completely.
	stateBody
	// stateServing means that the request has arrived completely, or is being refused.
	stateServing
	// stateClosed means that the connection or its request is being closed to make room.
	stateClosed
)

// Connection is the account of one connection and of the request on it, or of one stream of an HTTP/2
// connection. The methods of a nil *Connection do nothing and reserve without a limit.
type Connection struct {
	account *Inbound
	// close ends the connection, or only its reads if a request on it can still be answered. It must
	// not block.
	close func(answer bool)
	// listener names the listener, bytes is the memory of the connection itself.
	listener string
	bytes    int64
	// parent is the connection of a stream, nil for a connection.
	parent *Connection

	// The following fields are guarded by account.mu. streams is the number of open streams.
	streams   int
	state     state
	workspace string
	since     time.Time
	// number is that of the request in the order in which the requests of all connections began.
	number   uint64
	progress progress
	// headerBytes and requestBytes are what is reserved for the header and the request; body is the
	// body of the request, nil if there is none.
	headerBytes, requestBytes int64
	body                      *Body
	// released is closed when a request that is closed to make room has given its memory back.
	released chan struct{}
	// closing is closed when the connection or its request is closed to make room; closedAs is what
	// it was then.
	closing  chan struct{}
	closedAs string
	// gone is set once the connection has given its memory back.
	gone bool
}

// progress counts what arrives in the current second and the one before it.
type progress struct{ second, current, previous int64 }

func (p *progress) add(now time.Time, n int64) {
	if second := now.Unix(); p.second != second {
		p.previous = 0
		if p.second == second-1 {
			p.previous = p.current
		}
		p.second, p.current = second, 0
	}
	p.current += n
}

// at returns what arrived in the current second and the one before it.
func (p *progress) at(now time.Time) int64 {
	switch now.Unix() - p.second {
	case 0:
		return p.current + p.previous
	case 1:
		return p.current
	}
	return 0
}

// Open registers a connection on the named listener whose buffers and goroutines take the given memory.
// It returns nil if there is no room, even by closing others; else the caller must call Close. closeConn
// ends the connection, or only its reads if a request on it can still be answered. It must not block.
func (a *Inbound) Open(listener string, bytes int64, closeConn func(answer bool)) *Connection {
	c := &Connection{account: a, close: closeConn, listener: listener, bytes: bytes, since: time.Now(), closing: make(chan struct{})}
	a.mu.Lock()
	var v *Connection
	if !a.fitsConnection(listener, bytes) {
		v = a.connectionVictim(listener)
	}
	if v != nil && v.closedAs != ClosedBody {
		// No request is being handled on it, so its memory is free at once.
		a.forget(v)
	}
	ok := a.fitsConnection(listener, bytes)
	if ok {
		a.open[c] = struct{}{}
		a.connections++
		a.byListener[listener]++
		a.connectionBytes += bytes
		a.used += bytes
	}
	a.mu.Unlock()
	if v != nil {
		v.interrupt()
	}
	if !ok {
		a.onClose(RefusedConnection)
		return nil
	}
	return c
}

// fitsConnection reports whether there is room for another connection on a listener. a.mu must be held.
func (a *Inbound) fitsConnection(listener string, bytes int64) bool {
	return a.connections < a.maxConnections && !a.isCrowded(listener) && a.connectionBytes+bytes <= a.connectionLimit && a.used+bytes <= a.limit
}

// isCrowded reports whether a listener has as many connections as one listener may have. a.mu must be
// held.
func (a *Inbound) isCrowded(listener string) bool {
	return a.byListener[listener] >= int(math.Ceil(listenerShare*float64(a.maxConnections)))
}

// OpenStream registers a stream of an HTTP/2 connection, which carries one request. The caller must call
// Close. cancel ends the reads of the stream; it must not block.
func (c *Connection) OpenStream(cancel func(answer bool)) *Connection {
	if c == nil {
		return nil
	}
	a := c.account
	s := &Connection{account: a, close: cancel, listener: c.listener, parent: c, since: time.Now(), closing: make(chan struct{})}
	a.mu.Lock()
	defer a.mu.Unlock()
	s.state, s.number = stateHeader, a.nextRequest()
	if c.state == stateClosed {
		s.state = stateClosed
	} else {
		c.state = stateServing
	}
	c.streams++
	a.open[s] = struct{}{}
	return s
}

// AddProgress counts bytes that have arrived on an HTTP/2 connection.
func (c *Connection) AddProgress(bytes int) {
	if c == nil {
		return
	}
	c.account.mu.Lock()
	c.progress.add(time.Now(), int64(bytes))
	c.account.mu.Unlock()
}

// group returns the group with which the connection shares the memory: the workspace of its request, or
// else its listener.
func (c *Connection) group() string {
	if c.workspace == "" {
		return "listener " + c.listener
	}
	return c.workspace
}

// forget removes a connection or stream that has no request and gives back what it holds. a.mu must be
// held.
func (a *Inbound) forget(c *Connection) {
	if c.gone {
		return
	}
	c.gone = true
	delete(a.open, c)
	a.used -= c.bytes + c.headerBytes + c.requestBytes
	a.garbage.add(c.headerBytes)
	c.headerBytes, c.requestBytes = 0, 0
	if c.parent == nil {
		a.connections--
		a.byListener[c.listener]--
		a.connectionBytes -= c.bytes
	} else if c.parent.streams--; c.parent.streams == 0 && c.parent.state == stateServing {
		c.parent.state, c.parent.since = stateIdle, time.Now()
	}
	c.signalRelease()
	a.signalRoom()
}

// signalRelease wakes the request that waits for the memory of a closed one. account.mu must be held.
func (c *Connection) signalRelease() {
	if c.released != nil {
		close(c.released)
		c.released = nil
	}
}

// Close gives back what the connection holds. It may be called more than once.
func (c *Connection) Close() {
	if c == nil {
		return
	}
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	c.account.forget(c)
}

// markClosing marks a connection as closed to make room. account.mu must be held.
func (c *Connection) markClosing() {
	c.closedAs = ClosedIdle
	switch c.state {
	case stateBody:
		c.closedAs = ClosedBody
	case stateHeader:
		c.closedAs = ClosedHeader
	}
	c.state = stateClosed
	c.released = make(chan struct{})
	close(c.closing)
}

// interrupt ends a connection that is marked as closing, or the reads of its request, and reports it to
// onClose. account.mu must not be held.
func (c *Connection) interrupt() {
	c.close(c.closedAs == ClosedBody)
	c.account.onClose(c.closedAs)
}
