package membudget

import (
	"math"
	"time"
)

// connectionVictim chooses the connection that is closed first to make room for another one on a
// listener, and marks it: one without a request if there is any, since its client loses nothing. a.mu
// must be held.
func (a *Inbound) connectionVictim(listener string) *Connection {
	crowded := a.isCrowded(listener)
	eligible := func(c *Connection) bool { return c.parent == nil && (!crowded || c.listener == listener) }
	if v := a.victim(nil, 0, func(c *Connection) bool { return c.state == stateIdle && eligible(c) }); v != nil {
		return v
	}
	return a.victim(nil, 0, eligible)
}

// victim chooses the eligible connection that is closed first and marks it; nil if it is self, which
// needs n bytes, or none gives enough back. a.mu must be held.
func (a *Inbound) victim(self *Connection, n int64, eligible func(*Connection) bool) *Connection {
	now := time.Now()
	connections := make([]*Connection, 0, len(a.open))
	candidates := make([]Candidate, 0, len(a.open))
	freeable := int64(0)
	for c := range a.open {
		if c.state > stateBody || !eligible(c) {
			continue
		}
		held := c.bytes + c.headerBytes + c.requestBytes
		progress := c.progress.at(now)
		if c.body != nil {
			held += c.body.reserved
			if c.body.waiting {
				progress = math.MaxInt64
			}
		}
		if c != self {
			freeable += held
		} else {
			held += n
		}
		if held > 0 {
			connections = append(connections, c)
			candidates = append(candidates, Candidate{c.group(), held, progress, c.since})
		}
	}
	if a.used+n-freeable > a.limit {
		return nil
	}
	best := ChooseVictim(candidates)
	if best < 0 || connections[best] == self {
		return nil
	}
	connections[best].markClosing()
	return connections[best]
}

// makeRoom returns nil when n more bytes can be reserved for the request on c, for which it closes
// others if necessary, or else ErrExhausted, or ErrClosed if the request is closed for another one. If
// wait is set, it spares the bodies that arrive in time and waits for memory that is given back.
// a.mu must be held; it is released while makeRoom waits.
func (a *Inbound) makeRoom(c *Connection, n int64, wait bool) error {
	if c.state != stateClosed && a.used+n <= a.limit {
		return nil
	}
	deadline := time.Now().Add(a.roomWait)
	eligible := func(o *Connection) bool { return !wait || !o.arrivesInTime(time.Now()) }
	for {
		if c.state == stateClosed {
			return ErrClosed
		}
		if a.used+n <= a.limit {
			return nil
		}
		if v := a.victim(c, n, eligible); v != nil {
			a.closeVictim(v, c)
			continue
		}
		if !wait || !a.awaitRoom(c, deadline) {
			return ErrExhausted
		}
	}
}

// closeVictim closes v, which is marked, for the request on c and waits until it has given its memory
// back. a.mu must be held; it is released meanwhile.
func (a *Inbound) closeVictim(v, c *Connection) {
	released := v.released
	a.mu.Unlock()
	v.interrupt()
	timer := time.NewTimer(closeWait)
	select {
	case <-released:
	case <-c.closing:
	case <-timer.C:
	}
	timer.Stop()
	a.mu.Lock()
}

// awaitRoom waits until memory is given back or roomPollInterval has passed. It returns false if the
// deadline has passed. a.mu must be held; it is released meanwhile.
func (a *Inbound) awaitRoom(c *Connection, deadline time.Time) bool {
	if !time.Now().Before(deadline) {
		return false
	}
	if c.body != nil && c.state == stateBody {
		c.body.waiting = true
	}
	freed := a.roomFreed
	a.waiting++
	a.mu.Unlock()
	timer := time.NewTimer(roomPollInterval)
	select {
	case <-freed:
	case <-c.closing:
	case <-timer.C:
	}
	timer.Stop()
	a.mu.Lock()
	a.waiting--
	return true
}

// signalRoom wakes the requests that wait for memory. a.mu must be held.
func (a *Inbound) signalRoom() {
	if a.waiting > 0 {
		close(a.roomFreed)
		a.roomFreed = make(chan struct{})
	}
}
