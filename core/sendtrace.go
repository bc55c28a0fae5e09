package core

import (
	"errors"
	"sync/atomic"
	"time"
)

// SendTrace records how far an attempt was sent, for logs and metrics. Its methods may be called
// from any goroutine.
type SendTrace struct {
	arrivedAt time.Time
	caller    Caller
	// Times since the arrival of the request, in nanoseconds; 0 if not reached.
	writeStarted, written, givenUp atomic.Int64
	unacknowledged                 atomic.Int64
	callerHadLeft                  atomic.Bool
}

// SendTimes is what a SendTrace has recorded. Times count from the arrival of the request and are
// 0 if the attempt did not get so far.
type SendTimes struct {
	// WriteStarted and Written are when the first byte and the whole head of the request were
	// handed to the kernel.
	WriteStarted, Written time.Duration
	// GivenUp is when the exchange ended before its response was complete.
	GivenUp time.Duration
	// Unacknowledged is the number of bytes that the server had not acknowledged then; -1 if
	// unknown.
	Unacknowledged int
	// CallerHadLeft is set if the caller had closed its connection when the request was about
	// to be written, so that it was not.
	CallerHadLeft bool
}

// newSendTrace returns the trace of one attempt of a request.
func newSendTrace(r *Request) *SendTrace {
	return &SendTrace{arrivedAt: r.ArrivedAt, caller: r.Caller}
}

// ErrCallerLeft means that a request was not sent because its caller has closed the connection.
var ErrCallerLeft = errors.New("the caller has closed its connection")

// BeforeWrite must be called right before the first byte of the attempt is written. It returns
// ErrCallerLeft if the attempt must not be sent: the socket shows that the caller has left before
// the context of the request ends, which takes a goroutine that may not have run yet.
func (t *SendTrace) BeforeWrite(at time.Time) error {
	if t.caller != nil && t.caller.HasLeft() {
		t.callerHadLeft.Store(true)
		return ErrCallerLeft
	}
	t.writeStarted.Store(int64(at.Sub(t.arrivedAt)))
	return nil
}

// Written records that the head of the request has been handed to the kernel.
func (t *SendTrace) Written(at time.Time) { t.written.Store(int64(at.Sub(t.arrivedAt))) }

// GivenUp records the end of an exchange whose response is not complete. Only the first call
// counts.
func (t *SendTrace) GivenUp(at time.Time, unacknowledged int) {
	if t.givenUp.CompareAndSwap(0, int64(at.Sub(t.arrivedAt))) {
		t.unacknowledged.Store(int64(unacknowledged))
	}
}

// Times returns what has been recorded. It returns the zero value for a nil trace.
func (t *SendTrace) Times() SendTimes {
	if t == nil {
		return SendTimes{}
	}
	return SendTimes{
		WriteStarted: time.Duration(t.writeStarted.Load()), Written: time.Duration(t.written.Load()),
		GivenUp: time.Duration(t.givenUp.Load()), Unacknowledged: int(t.unacknowledged.Load()),
		CallerHadLeft: t.callerHadLeft.Load(),
	}
}
