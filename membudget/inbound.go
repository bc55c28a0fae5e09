package membudget

import (
	"errors"
	"sync"
	"time"
)

const (
	// ConnectionBytes is the memory of a connection of HTTP/1.1: its goroutines, the two buffers of the
	// HTTP server and what is known of the framing of its requests.
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
