package core

import (
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
	// CallerHadLeft is set if the caller had closed its connection when the write started.
	CallerHadLeft bool
}

// newSendTrace returns the trace of one attempt of a request.
func newSendTrace(r *Request) *SendTrace {
	return &SendTrace{arrivedAt: r.ArrivedAt, caller: r.Caller}
}

// WriteStarted records that the first byte is about to be written.
func (t *SendTrace) WriteStarted(at time.Time) {
	t.writeStarted.Store(int64(at.Sub(t.arrivedAt)))
	if t.caller != nil {
		t.callerHadLeft.Store(t.caller.HasLeft())
	}
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
