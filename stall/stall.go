// Package stall decides what becomes of a stream whose backend server is silent: wait, check the
// server, continue the stream on another server, or end it. It does no I/O and reads no clock.
package stall

import "time"

const (
	// Callers leave a stream after a gap of the longest of minCallerGap, callerGapTargets target
	// latencies and callerGapPauses target pauses.
	minCallerGap     = 2 * time.Second
	callerGapTargets = 4
	callerGapPauses  = 8
	// A server is checked first after the caller gap divided by checkShare, and between events
	// after checkPauses target pauses if that is sooner, but not before minCheck: a check costs
	// the server a connection.
	checkShare  = 4
	checkPauses = 2
	minCheck    = 500 * time.Millisecond
	// A stream continues elsewhere after half of the caller gap at the earliest, and after
	// three quarters at the latest: the other server needs the rest to read the prompt again.
	firstMoveShare, lastMoveShare = 0.5, 0.75
	// firstEventTargets is the multiple of the target latency that a server gets for the first
	// event, within the same bounds.
	firstEventTargets = 4
	// pauseFactor is the multiple of the longest pause so far that a server gets: one that sends
	// an event each second is slow, not silent.
	pauseFactor = 1.5
	// maxStalledShare is the share of streams at other servers that are silent as well above
	// which none continues elsewhere: the other servers are as slow.
	maxStalledShare = 0.5
	// presumedResponsive is how many streams with events are added to those at other servers, so that one silent stream among
	// one or two is not taken for a slow deployment.
	presumedResponsive = 2
	// blockedShare divides the caller gap for the interval at which a blocked continuation is
	// tried again.
	blockedShare = 16
)

// CallerGap returns the pause between events after which callers leave a stream.
func CallerGap(targetLatency, targetPause time.Duration) time.Duration {
	return max(minCallerGap, callerGapTargets*targetLatency, callerGapPauses*targetPause)
}

// FirstCheck returns the silence below which Decide returns Wait. begun is set after the first event.
func FirstCheck(begun bool, targetLatency, targetPause time.Duration) time.Duration {
	check := CallerGap(targetLatency, targetPause) / checkShare
	if begun {
		check = min(check, max(minCheck, checkPauses*targetPause))
	}
	return check
}

// Server is what is known of the backend server of a stream.
type Server int

// What is known of a server.
const (
	// Unknown means that the server was not checked during the silence, or can't be reached.
	Unknown Server = iota
	// Reachable means that the server accepted a connection during the silence.
	Reachable
	// Draining means that the server takes no new requests. It may refuse connections while
	// it still answers the earlier ones.
	Draining
	// Crashed means that the address of the server refused a connection after the request was
	// sent.
	Crashed
	// Replaced means that a newer incarnation of the server, or a newer server at its address,
	// is registered.
	Replaced
)

// Stream is a stream that waits for its next event.
type Stream struct {
	// Silence is the time since the last event, or since the request was sent if there was none.
	Silence time.Duration
	// Begun is set once there was an event. LongestPause is the longest time between two
	// events from this server.
	Begun        bool
	LongestPause time.Duration
	// TargetLatency and TargetPause are those of the route.
	TargetLatency, TargetPause time.Duration
	// TimeLeft is the time until the deadline.
	TimeLeft time.Duration
	// Resumable is set if the rest of the stream may run on another server.
	Resumable bool
	// AttemptsLeft is the number of other servers on which it may still run.
	AttemptsLeft int
	// Moved is set if the stream has left a silent server before.
	Moved bool
	// Blocked is set if the retry budget allows no attempt now, or no server could take it.
	Blocked bool
	Server  Server
	// CheckedAt is the silence at which the server was last checked; 0 if it was not.
	CheckedAt time.Duration
	// RunningElsewhere counts the streams of this node at other servers, SilentElsewhere those
	// of them whose current or last pause is as long as FirstCheck.
	RunningElsewhere, SilentElsewhere int
}

// Action is what becomes of a stream.
type Action int

// The actions.
const (
	// Wait leaves the stream as it is.
	Wait Action = iota
	// Check asks whether the server accepts connections.
	Check
	// Move ends the exchange with the server and continues on another one.
	Move
	// End ends the stream.
	End
)

// Reason is why a stream is moved or ended, for logs.
type Reason string

// The reasons.
const (
	ReasonSilent   Reason = "silent"
	ReasonCrashed  Reason = "crashed"
	ReasonReplaced Reason = "replaced"
)

// Decision is the result of Decide.
type Decision struct {
	Action Action
	// Reason is set for Move and End.
	Reason Reason
	// Next is the time until the next decision if no event arrives, set for Wait.
	Next time.Duration
}

// Decide returns what becomes of a stream.
func Decide(s Stream) Decision {
	gap := CallerGap(s.TargetLatency, s.TargetPause)
	firstCheck := FirstCheck(s.Begun, s.TargetLatency, s.TargetPause)
	if s.Silence < firstCheck {
		return Decision{Next: firstCheck - s.Silence}
	}
	mayMove := s.Resumable && s.AttemptsLeft > 0 && s.TimeLeft > 0
	if reason := s.lostServer(); reason != "" {
		switch {
		case !mayMove || s.Blocked && s.Silence >= gap:
			return Decision{Action: End, Reason: reason}
		case s.Blocked:
			return Decision{Next: gap / blockedShare}
		}
		return Decision{Action: Move, Reason: reason}
	}
	// The other server needs about the target latency for its first event.
	mayMove = mayMove && !s.Moved && s.TimeLeft > s.TargetLatency
	required := s.requiredSilence(gap)
	if mayMove && !s.Blocked && s.Silence >= required {
		return Decision{Action: Move, Reason: ReasonSilent}
	}
	nextCheck := max(firstCheck, 2*s.CheckedAt)
	if s.Silence >= nextCheck && s.Server != Draining {
		return Decision{Action: Check}
	}
	next := max(nextCheck-s.Silence, gap/blockedShare)
	if mayMove && s.Silence < required {
		next = min(next, required-s.Silence)
	} else if mayMove {
		next = gap / blockedShare
	}
	return Decision{Next: next}
}

// lostServer returns why the rest of the stream can't come from its server any more, or "".
func (s *Stream) lostServer() Reason {
	switch s.Server {
	case Crashed:
		return ReasonCrashed
	case Replaced:
		return ReasonReplaced
	}
	return ""
}

// requiredSilence returns the silence after which the stream leaves a server that may be alive.
// It grows with the share of other servers' streams that are silent too, because moving all of them
// would only add prompts to servers that are slow already. It is above all silences if that share
// is greater than maxStalledShare.
func (s *Stream) requiredSilence(gap time.Duration) time.Duration {
	first, last := scale(gap, firstMoveShare), scale(gap, lastMoveShare)
	if s.Begun {
		first = max(first, scale(s.LongestPause, pauseFactor))
	} else {
		// The other attempt gets half of the time.
		first = min(max(first, firstEventTargets*s.TargetLatency), (s.Silence+s.TimeLeft)/2)
	}
	first = min(first, last)
	if s.Server == Draining {
		return first
	}
	share := float64(s.SilentElsewhere) / float64(s.RunningElsewhere+presumedResponsive)
	if share > maxStalledShare {
		return never
	}
	return first + scale(last-first, share/maxStalledShare)
}

// never is longer than any silence.
const never = time.Duration(1<<63 - 1)

func scale(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }
