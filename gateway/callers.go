package gateway

import (
	"github.com/figweir/figweir/core"
)

// countCallerLeft counts a request whose caller left before the answer was complete, by what the
// caller's socket and that of the last attempt showed.
func (o *observer) countCallerLeft(r *core.Record) {
	send := r.LastSend.Times()
	switch {
	case send.CallerHadLeft:
		o.callersLeft.Add("found_at_write", 1)
	case send.WriteStarted == 0:
		o.callersLeft.Add("before_sending", 1)
	case send.Unacknowledged > 0:
		o.callersLeft.Add("unacknowledged", 1)
	default:
		o.callersLeft.Add("after_sending", 1)
	}
}

// callerLeftFields returns the additional fields of the log line of such a request.
func callerLeftFields(r *core.Record) []any {
	send := r.LastSend.Times()
	return []any{
		"unread_ms", r.Request.Unread.Milliseconds(), "read_ms", r.Request.ReadTime.Milliseconds(),
		"write_us", send.WriteStarted.Microseconds(), "written_us", send.Written.Microseconds(),
		"left_at_write", send.CallerHadLeft, "given_up_us", send.GivenUp.Microseconds(), "unacknowledged_bytes", send.Unacknowledged,
	}
}

// logSocketError counts an error of reading the state of a caller's socket, and logs the first one:
// the same system call fails in the same way for each request.
func (o *observer) logSocketError(cause error) {
	o.callersLeft.Add("socket_unreadable", 1)
	o.socketErrorOnce.Do(func() { o.log.Info("cannot read the state of callers' sockets", "cause", cause.Error()) })
}
