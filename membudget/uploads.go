package membudget

import "time"

// Bodies that arrive at the same time may need more memory together than there is. Each of them gets its
// memory in the order in which the requests began: a part is reserved only if what older bodies still
// need fits too, so that the oldest always completes. The others are not read meanwhile, which slows
// their senders down. Bodies that arrive too slowly to be complete in time don't hold others up and are
// closed if others need their memory.

const (
	// roomWait is how long a body waits for memory before its request is refused.
	roomWait = 3 * time.Second
	// fairWait is how long it waits for bodies of a group that holds more than an equal share before
	// one of them is closed, although it arrives in time.
	fairWait = time.Second
	// roomPollInterval is the time between two looks at the other bodies while one waits.
	roomPollInterval = 100 * time.Millisecond
	// paceTime is the time over which the pace of a body is judged.
	paceTime = time.Second
)

// Upload describes a body that is read.
type Upload struct {
	// Announced is the length of the body in bytes, negative if it is not known.
	Announced int64
	// Timeout is the time in which the body must arrive; 0 if there is no limit.
	Timeout time.Duration
	// OnWait, if not nil, is called when the body has waited for memory for the given time, in which
	// it was not read.
	OnWait func(waited time.Duration)
	// MemoryFactor is how much memory the reader needs for a byte of the body; 0 means 1.
	MemoryFactor int
}

// paceBytes returns how much of the body must arrive in paceTime, at least one byte. account.mu must be
// held.
func (b *Body) paceBytes() int64 {
	total := b.upload.Announced
	if total < 0 {
		total = b.arrived
	}
	if b.upload.Timeout <= 0 {
		return 1
	}
	return max(1, int64(float64(total)*paceTime.Seconds()/b.upload.Timeout.Seconds()))
}

// remainingBytes estimates what the body still needs: what is left of its announced length, or as much
// again as has arrived. account.mu must be held.
func (b *Body) remainingBytes() int64 {
	total := b.upload.Announced
	if total < 0 {
		return min(b.reserved, b.connection.account.oneBodyLimit-b.reserved)
	}
	return max(0, total*b.memoryFactor()-b.reserved)
}

// arrivesInTime reports whether the connection has an unfinished body of which enough has arrived in the
// last second. account.mu must be held.
func (c *Connection) arrivesInTime(now time.Time) bool {
	b := c.body
	if b == nil || c.state != stateBody {
		return false
	}
	return b.waiting || now.Sub(b.readingSince) < paceTime || c.progress.at(now) >= b.paceBytes()
}

// groupShares is what the groups hold of the unfinished bodies.
type groupShares struct {
	held  map[string]int64
	equal int64
}

// uploadShares returns the shares, with n more bytes for c. a.mu must be held.
func (a *Inbound) uploadShares(c *Connection, n int64) groupShares {
	s := groupShares{held: map[string]int64{c.group(): n}}
	total := n
	for o := range a.uploads {
		s.held[o.group()] += o.body.large
		total += o.body.large
	}
	s.equal = total / int64(len(s.held))
	return s
}

// yields reports whether the bodies of o's group give way to those of c's group.
func (s groupShares) yields(o, c *Connection) bool {
	return s.held[o.group()] > s.equal && s.held[c.group()] <= s.equal
}

// makeRoomForUpload is makeRoom for a part of a body beyond UnsharedBytes.
func (a *Inbound) makeRoomForUpload(c *Connection, n int64) error {
	begun := time.Now()
	defer func() { c.body.endWait(begun) }()
	for {
		if c.state == stateClosed {
			return ErrClosed
		}
		if a.fitsUpload(c, n, nil) {
			if a.used+n <= a.limit {
				return nil
			}
			if err := a.makeRoom(c, n, true); err != nil {
				return err
			}
			// Other bodies may have grown while it waited.
			continue
		}
		shares := a.uploadShares(c, n)
		if a.fitsUpload(c, n, shares.yields) && a.used+n <= a.limit {
			return nil
		}
		mayTakeShare := time.Since(begun) >= fairWait
		if v := a.uploadVictim(c, n, shares, mayTakeShare); v != nil {
			a.closeVictim(v, c)
			continue
		}
		if !a.awaitRoom(c, begun.Add(a.roomWait)) {
			return ErrExhausted
		}
	}
}

// fitsUpload reports whether n more bytes fit beside what older bodies still need, apart from those that
// yield. a.mu must be held.
func (a *Inbound) fitsUpload(c *Connection, n int64, yields func(o, c *Connection) bool) bool {
	return a.bodies+n <= a.bodyLimit && a.bodies+n+a.neededBefore(c, yields) <= a.bodyLimit
}

// neededBefore returns what older bodies that arrive in time still need, apart from those that yield.
// a.mu must be held.
func (a *Inbound) neededBefore(c *Connection, yields func(o, c *Connection) bool) int64 {
	now := time.Now()
	needed := int64(0)
	for o := range a.uploads {
		if o.number < c.number && o.arrivesInTime(now) && (yields == nil || !yields(o, c)) {
			needed += o.body.remainingBytes()
		}
	}
	return needed
}

// uploadVictim chooses the body that is closed for another one and marks its connection: one that arrives
// too slowly or, if mayTakeShare is set, one of a group that yields. It returns nil if closing all of
// them would not make enough room. a.mu must be held.
func (a *Inbound) uploadVictim(c *Connection, n int64, shares groupShares, mayTakeShare bool) *Connection {
	now := time.Now()
	var connections []*Connection
	var candidates []Candidate
	freeable := int64(0)
	for o := range a.uploads {
		if o == c || o.state != stateBody || o.arrivesInTime(now) && !(mayTakeShare && shares.yields(o, c)) {
			continue
		}
		freeable += o.body.large
		connections = append(connections, o)
		candidates = append(candidates, Candidate{o.group(), o.body.large, o.progress.at(now), o.since})
	}
	best := ChooseVictim(candidates)
	if best < 0 || a.bodies+n-freeable > a.bodyLimit {
		return nil
	}
	connections[best].markClosing()
	return connections[best]
}

// endWait states that the body is read on, after a wait that began at the given time if it waited.
// account.mu must be held.
func (b *Body) endWait(begun time.Time) {
	if b == nil || !b.waiting {
		return
	}
	b.waiting = false
	b.readingSince = time.Now()
	b.waited += time.Since(begun)
}

// reportWait passes the time that the body has waited to OnWait. account.mu must not be held.
func (b *Body) reportWait() error {
	c := b.connection
	if c == nil || b.waited == 0 {
		return nil
	}
	if b.upload.OnWait != nil {
		b.upload.OnWait(b.waited)
	}
	b.waited = 0
	if c.IsClosed() {
		// OnWait may have replaced the deadline that ends its reads.
		return ErrClosed
	}
	return nil
}
