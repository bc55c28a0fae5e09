package core

import "time"

// Verdict states what a refusal guarantees about the execution of the request.
type Verdict int

const (
	// NotRun guarantees that the request has not run and never will.
	NotRun Verdict = iota
	// MayHaveRun gives no guarantee.
	MayHaveRun
	// TimedOut gives no guarantee; the deadline has passed.
	TimedOut
	// NoRoute means that the configuration has no route for the request.
	NoRoute
	// BadKey means that the API key belongs to no workspace.
	BadKey
	// OverQuota guarantees what NotRun does; the workspace has used up its quota.
	OverQuota
)

// Reason is the cause of a refusal or of an incomplete answer, for logs and metrics.
type Reason string

// The reasons of refusals and incomplete answers.
const (
	// ReasonNoConfiguration means that the node has not loaded a configuration yet.
	ReasonNoConfiguration Reason = "no_configuration"
	// ReasonNoRoute means that the configuration has no route for the request.
	ReasonNoRoute Reason = "no_route"
	// ReasonBadKey means that the API key belongs to no workspace.
	ReasonBadKey Reason = "bad_key"
	// ReasonNoServer means that no backend server of the service accepts requests.
	ReasonNoServer Reason = "no_server"
	// ReasonServersFull means that the backend servers are full or refused the request,
	// or that the retry budget allows no further attempt.
	ReasonServersFull Reason = "servers_full"
	// ReasonRateLimited means that the backend servers have reached the rate limits that they
	// state.
	ReasonRateLimited Reason = "servers_rate_limited"
	// ReasonOverQuota means that the workspace has used up its quota.
	ReasonOverQuota Reason = "over_quota"
	// ReasonUnreachable means that the request could not be sent to the backend servers
	// that were tried.
	ReasonUnreachable Reason = "unreachable"
	// ReasonAnswerLost means that the request may have run but its answer is missing or
	// incomplete.
	ReasonAnswerLost Reason = "answer_lost"
	// ReasonUnstatedRefusal means that a backend server answered with a status that promises
	// that the request has not run, and did not state so itself.
	ReasonUnstatedRefusal Reason = "server_refused_without_statement"
	// ReasonRepeated means that this node has received the request before, and it may run only
	// once.
	ReasonRepeated Reason = "repeated"
	// ReasonDeadline means that the deadline has passed.
	ReasonDeadline Reason = "deadline"
	// ReasonDeadlineUnreachable means that no backend server is expected to answer
	// before the deadline.
	ReasonDeadlineUnreachable Reason = "deadline_out_of_reach"
	// ReasonCallerGone means that the caller has disconnected.
	ReasonCallerGone Reason = "caller_gone"
	// ReasonStopping means that the node stops before the request would end.
	ReasonStopping Reason = "node_stops"
	// ReasonQuarantined means that the prompt has parts that crash backend servers.
	ReasonQuarantined Reason = "prompt_quarantined"
	// ReasonStreamCut means that a stream was interrupted and could not be resumed.
	ReasonStreamCut Reason = "stream_cut"
)

// Refusal is an answer that figweir generates itself instead of relaying one from a
// backend server. Only this package can create one, so that no other code can send
// NotRun for a request that may have run.
type Refusal struct {
	verdict    Verdict
	reason     Reason
	retryAfter time.Duration
}

// Verdict returns what the refusal guarantees about the execution of the request.
func (r Refusal) Verdict() Verdict { return r.verdict }

// Reason returns the cause of the refusal.
func (r Refusal) Reason() Reason { return r.reason }

// RetryAfter returns how long the caller should wait before a retry; 0 if waiting
// doesn't help.
func (r Refusal) RetryAfter() time.Duration { return r.retryAfter }

// attemptCounts counts the attempts of a request by outcome.
type attemptCounts struct {
	// sent counts the attempts that a backend server may have received.
	sent int
	// mayHaveRun counts the attempts that ran or may have run.
	mayHaveRun int
	refused    int
	unsent     int
}

// record counts the outcome of one attempt.
func (c *attemptCounts) record(o Outcome) {
	switch o.(type) {
	case NotSent:
		c.unsent++
	case Refused:
		c.sent++
		c.refused++
	case Lost, Answered:
		c.sent++
		c.mayHaveRun++
	}
}

// refusal returns the refusal for a request without an answer. Its verdict is NotRun
// only if no attempt can have run.
func (c *attemptCounts) refusal(reason Reason, retryAfter time.Duration) Refusal {
	switch {
	case c.mayHaveRun == 0:
		return Refusal{NotRun, reason, retryAfter}
	case reason == ReasonDeadline:
		return Refusal{TimedOut, reason, 0}
	default:
		return Refusal{MayHaveRun, reason, 0}
	}
}
