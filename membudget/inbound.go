package membudget

import (
	"errors"
	"math"
	"sync"
	"time"
)

const (
	// ConnectionBytes is the memory of a caller's connection: its goroutines, the two buffers of the
	// HTTP server and the record of the start of a request.
	ConnectionBytes = 24 << 10
	// RequestBytes is the memory of a request besides its headers and body: its state, the connection
	// to the backend server, and the part of its response that is not taken from the shared memory.
	RequestBytes = 32 << 10
	// streamBytes is that of a request of HTTP/2, which goes to no backend server.
	streamBytes = 16 << 10
	// headerByteCost and headerLineCost are the memory for a byte and for a line of a header. A line
	// of a few bytes needs far more for its entry in the map than for its text.
	headerByteCost = 2
	headerLineCost = 128
	// bodyShare, answerShare, oneBodyShare and connectionShare are parts of the account: of all bodies,
	// of answers that are being written, of one body, and of the connections.
	bodyShare       = 0.75
	answerShare     = 0.25
	oneBodyShare    = 0.25
	connectionShare = 0.5
	// listenerShare is the part of the connections that one listener may have, so that many clients of
	// one don't keep readiness probes and operators out.
	listenerShare = 15.0 / 16
	// closeWait is how long a request waits for the memory of one that is closed for it, which ends
	// as soon as its goroutine runs.
	closeWait = time.Second
)

// ErrClosed means that a request was closed to make room for others.
var ErrClosed = errors.New("membudget: the request was closed to make room for others")

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

// Inbound is the account of what clients send on all listeners of a process: connections, headers and
// bodies. Memory is reserved as bytes arrive and given back at the end of the request. When it is full,
// unfinished requests are closed in the order of ChooseVictim; requests that have arrived completely
// never are. Bodies that arrive in time wait for each other instead (see uploads.go). It is safe for
// concurrent use.
type Inbound struct {
	limit, connectionLimit, bodyLimit, answerLimit, oneBodyLimit int64
	maxConnections                                               int
	// roomWait is how long a request that has begun to arrive waits for memory.
	roomWait time.Duration
	// onClose is called with what was closed or refused, perhaps with mu held. It must not block or
	// call the account.
	onClose func(what string)
	garbage garbage

	mu sync.Mutex
	// used is what is reserved, bodies the part of it for bodies beyond UnsharedBytes of each, unfinished
	// the part of bodies that have not arrived completely, and answers that of AddAnswer.
	used, bodies, unfinished, answers int64
	// open holds the connections and the streams of HTTP/2, connections is the number of the former
	// and connectionBytes their memory.
	open            map[*Connection]struct{}
	connections     int
	connectionBytes int64
	byListener      map[string]int
	// requests is the number of requests that have begun.
	requests uint64
	// uploads holds the connections whose body is larger than UnsharedBytes and has not arrived
	// completely.
	uploads map[*Connection]struct{}
	// roomFreed is closed when memory is given back, waiting the number of requests that wait for it.
	roomFreed chan struct{}
	waiting   int
}

// What Inbound closes or refuses, as it is passed to onClose.
const (
	ClosedIdle        = "idle_closed"
	ClosedHeader      = "header_closed"
	ClosedBody        = "body_closed"
	RefusedConnection = "connection_refused"
	RefusedHeader     = "header_refused"
	RefusedRequest    = "request_refused"
	CutAnswer         = "answer_cut"
)

// NewInbound returns an account of the given number of bytes for at most maxConnections connections.
// onClose is called with what is closed or refused for lack of memory or connections. It must not block
// or call the account.
func NewInbound(bytes int64, maxConnections int, onClose func(what string)) *Inbound {
	share := func(fraction float64) int64 { return int64(fraction * float64(bytes)) }
	return &Inbound{
		limit: bytes, connectionLimit: share(connectionShare), bodyLimit: share(bodyShare), answerLimit: share(answerShare), oneBodyLimit: share(oneBodyShare),
		maxConnections: max(1, min(maxConnections, int(share(connectionShare)/ConnectionBytes))),
		roomWait:       roomWait, onClose: onClose, garbage: garbage{limit: share(garbageShare)},
		open: make(map[*Connection]struct{}), byListener: make(map[string]int), uploads: make(map[*Connection]struct{}), roomFreed: make(chan struct{}),
	}
}

// MaxBodyBytes returns the size of the largest body that fits into an account of the given size.
func MaxBodyBytes(accountBytes int64) int64 { return int64(oneBodyShare * float64(accountBytes)) }

// MaxBodyBytes returns the size of the largest body that fits into the account.
func (a *Inbound) MaxBodyBytes() int64 { return a.oneBodyLimit }

// InboundStats are the current figures of an account.
type InboundStats struct {
	UsedBytes, BodyBytes, UnfinishedBytes int64
	Connections, MaxConnections           int
}

// Stats returns the current figures.
func (a *Inbound) Stats() InboundStats {
	a.mu.Lock()
	defer a.mu.Unlock()
	return InboundStats{a.used, a.bodies, a.unfinished, a.connections, a.maxConnections}
}

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

// MaxWorkBytes returns the most that AddWork may be called with: half of the account, so that there is
// room for it beside the connections.
func (c *Connection) MaxWorkBytes() int64 {
	if c == nil {
		return math.MaxInt64
	}
	return c.account.limit / 2
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
