package core

import "time"

// Verdict says what a refusal promises.
type Verdict int

// The verdicts.
const (
	// NotRun promises that the request has not run and never will.
	NotRun Verdict = iota
	// MayHaveRun promises nothing.
	MayHaveRun
	// TimedOut promises nothing; the time for the answer is over.
	TimedOut
	// NoRoute means that the configuration has no route for the request.
	NoRoute
	// BadKey means that no workspace has the key.
	BadKey
)

// Reason says why a request is refused, for logs and metrics.
type Reason string

// The reasons.
const (
	ReasonNoConfiguration Reason = "no_configuration"
	ReasonNoRoute         Reason = "no_route"
	ReasonBadKey          Reason = "bad_key"
	ReasonNoServer        Reason = "no_server"
	ReasonServersFull     Reason = "servers_full"
	ReasonUnreachable     Reason = "unreachable"
	ReasonAnswerLost      Reason = "answer_lost"
	ReasonDeadline        Reason = "deadline"
	ReasonTooLate         Reason = "deadline_out_of_reach"
	ReasonCallerGone      Reason = "caller_gone"
	ReasonStreamCut       Reason = "stream_cut"
)

// Refusal is an answer of figweir's own. It can be built in this package only,
// so that NotRun is never said of a request that may have run.
type Refusal struct {
	verdict    Verdict
	reason     Reason
	retryAfter time.Duration
}

// Verdict returns what the refusal promises.
func (r Refusal) Verdict() Verdict { return r.verdict }

// Reason returns why.
func (r Refusal) Reason() Reason { return r.reason }

// RetryAfter returns when to come back; 0 if it makes no difference.
func (r Refusal) RetryAfter() time.Duration { return r.retryAfter }

// ledger records the outcomes of a request's attempts.
type ledger struct {
	// sent counts the attempts that a backend server can have received.
	sent int
	// mayHaveRun counts the attempts that ran or may have run.
	mayHaveRun int
	refused    int
	unsent     int
}

func (l *ledger) note(o Outcome) {
	switch o.(type) {
	case NotSent:
		l.unsent++
	case Refused:
		l.sent++
		l.refused++
	case Lost, Answered:
		l.sent++
		l.mayHaveRun++
	}
}

// refusal returns the answer to a request that is given up. It says "not run"
// only if no attempt can have run.
func (l *ledger) refusal(reason Reason, retryAfter time.Duration) Refusal {
	switch {
	case l.mayHaveRun == 0:
		return Refusal{NotRun, reason, retryAfter}
	case reason == ReasonDeadline:
		return Refusal{TimedOut, reason, 0}
	default:
		return Refusal{MayHaveRun, reason, 0}
	}
}
