package core

import (
	"errors"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/figweir/figweir/backends"
	"github.com/figweir/figweir/stall"
)

// Causes of attempts that a streamWatch has canceled.
var (
	errServerSilent   = errors.New("the backend server is silent")
	errServerCrashed  = errors.New("the silent backend server refuses connections")
	errServerReplaced = errors.New("the silent backend server was replaced")
)

// stallCauses are the causes by reason.
var stallCauses = map[stall.Reason]error{
	stall.ReasonSilent: errServerSilent, stall.ReasonCrashed: errServerCrashed, stall.ReasonReplaced: errServerReplaced,
}

// StreamEvent is what a node has done about a silent stream.
type StreamEvent string

// The events of silent streams.
const (
	// StreamMoved means that the stream continues on another server.
	StreamMoved StreamEvent = "moved"
	// StreamEnded means that the stream was ended: its server is lost, and no other one may
	// continue it.
	StreamEnded StreamEvent = "ended"
	// StreamServerChecked means that the node tried to connect to the server. Streams that are
	// silent together share one check.
	StreamServerChecked StreamEvent = "checked"
	// StreamKeptWaiting means that the stream would continue on another server, and the retry
	// budget does not allow it. It is reported once for each attempt.
	StreamKeptWaiting StreamEvent = "kept_waiting"
)

// SilentStream is a stream whose backend server is silent.
type SilentStream struct {
	Request *Request
	Server  *backends.Server
	Silence time.Duration
	// Reason is set for StreamMoved and StreamEnded.
	Reason stall.Reason
}

// serverStreams counts the watched streams of this node at one incarnation of a backend server.
type serverStreams struct {
	running, silent atomic.Int64
	// checkedAt is when the last check whether the server accepts connections began, and
	// refusedAt that of the last one that the server refused; see sinceStart.
	checkedAt, refusedAt atomic.Int64
	// eventAt is when an event of one of the streams was received, to within eventResolution.
	eventAt atomic.Int64
}

// eventResolution keeps the streams of a server from writing to the same memory at each event.
const eventResolution = 50 * time.Millisecond

// streamCounts counts the watched streams of this node. The zero value is ready for use.
type streamCounts struct {
	running, silent atomic.Int64
	// servers holds a *serverStreams for each incarnation with streams.
	servers sync.Map
}

// server returns the counts of one incarnation.
func (c *streamCounts) server(incarnation uint64) *serverStreams {
	if s, ok := c.servers.Load(incarnation); ok {
		return s.(*serverStreams)
	}
	created := &serverStreams{}
	created.checkedAt.Store(noTime)
	created.refusedAt.Store(noTime)
	created.eventAt.Store(noTime)
	s, _ := c.servers.LoadOrStore(incarnation, created)
	return s.(*serverStreams)
}

// processStart is the reference of times that are stored as nanoseconds.
var processStart = time.Now()

// noTime means that there is no time yet. It is before all times that are stored as nanoseconds, and
// halved so that differences don't overflow.
const noTime = math.MinInt64 / 2

// sinceStart returns the nanoseconds from processStart to t. It is not 0, see streamWatch.waitingSince.
func sinceStart(t time.Time) int64 { return int64(t.Sub(processStart)) | 1 }
