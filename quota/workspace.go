package quota

import (
	"sync"
	"time"

	"github.com/figweir/figweir/permit"
)

// workspace is the state of one workspace with a quota.
type workspace struct {
	name string
	key  uint64

	mu    sync.Mutex
	limit Limit

	// The fields up to share serve the requests of this node.

	// waiting holds the requests that wait for a granter, by the ids of their messages, and
	// abandoned the messages that were not answered in time.
	waiting   map[uint64]*waiting
	abandoned map[uint64]abandoned
	// rank is the index of the granter that is asked first; 0 again from rankUntil on.
	rank      int
	rankUntil time.Time
	// shareUntil is the time until which no granter is asked because none answered.
	shareUntil time.Time
	// refusedAmount is the smallest amount that was refused; refusals hold until refusedUntil.
	refusedAmount uint64
	refusedUntil  time.Time
	// availableAt is when the bucket may hold what was refused.
	availableAt time.Time
	// share is the part of the rate that this node may use if it reaches no granter.
	share     permit.Bucket
	shareSent windowSum

	// The fields below serve if this node is a granter.

	// choice holds the granters, chosen from the nodes in choiceOf.
	choice   []string
	choiceOf *reach
	// granting is true if this node is a granter, and first if it is the first choice.
	granting, first bool
	// bucket is what may be granted. limited further bounds the grants while another node is
	// the first granter: it may grant at the same moment.
	bucket, limited permit.Bucket
	// sent holds the amounts granted in the last window, by this node and others.
	sent windowSum
	// asking is set while the state of the other granters is awaited, until askingUntil.
	asking      bool
	askingUntil time.Time
	// total is the sum of the amounts that this node has granted, and toldTotal what the other
	// granters were sent at toldAt.
	total, toldTotal uint64
	toldAt           time.Time
	others           permit.Totals
	// toldBy holds the time of the last message about grants from each other node.
	toldBy map[string]time.Time
	// answeredAt is when the nodes in toldBy were last sent a heartbeat.
	answeredAt time.Time
	// seen holds the requests and returns that were counted, so that a datagram that comes twice
	// is counted once.
	seen seenIDs
	// largeRefusedSince is when a request for more than half of the burst was first refused
	// since the last one was granted, largeRefusedAt when the last one was.
	largeRefusedSince, largeRefusedAt time.Time

	counts Counts
	// ended is set once the workspace has no quota any more. A request may have looked it up before.
	ended bool
}

// Counts counts what happened to the requests of this node, and what it granted.
type Counts struct {
	// Granted and Refused count requests of this node; Share counts those of Granted that
	// were sent from its own share, without a granter. TimedOut counts unanswered messages.
	Granted, Refused, Share, TimedOut uint64
	// GrantedAmount is the sum of the amounts that this node has granted to all nodes.
	GrantedAmount uint64
}

// waiting is a request that waits for a granter.
type waiting struct {
	amount uint64
	// first is the index of the granter that was asked first, to the address of the one that was
	// asked last, and tries the number of granters that were asked before that one.
	first, tries int
	to           string
	// choiceOf is the set of nodes from which the granters were chosen. The request starts over
	// with new granters, but at most maxRestarts times.
	choiceOf *reach
	restarts int
	// answered is set once a node answered that it is no granter.
	answered bool
	// wait is the shortest wait that a granter has stated; 0 if none has.
	wait     time.Duration
	deadline time.Time
	// id is that of the last message, and finished is set once done has been called.
	id       uint64
	finished bool
	done     func(granted bool, retryAfter time.Duration)
}

// abandoned is a message that was not answered in time.
type abandoned struct {
	request *waiting
	until   time.Time
}

// messageID identifies a Request or a Return.
type messageID struct {
	from string
	id   uint64
}

// seenIDs holds the ids of recent messages in two generations.
type seenIDs struct {
	current, previous map[messageID]struct{}
	startedAt         time.Time
}

// add adds an id. It returns false if the id was known.
func (s *seenIDs) add(id messageID) bool {
	if _, known := s.current[id]; known {
		return false
	}
	if _, known := s.previous[id]; known {
		return false
	}
	if s.current == nil || len(s.current) >= maxSeen {
		s.previous, s.current = s.current, make(map[messageID]struct{})
	}
	s.current[id] = struct{}{}
	return true
}

// expire forgets ids after one to two times the given time.
func (s *seenIDs) expire(now time.Time, after time.Duration) {
	if now.Sub(s.startedAt) > after {
		s.startedAt, s.previous, s.current = now, s.current, nil
	}
}

func newWorkspace(name string, limit Limit) *workspace {
	return &workspace{
		name: name, key: Key(name), limit: limit, waiting: make(map[uint64]*waiting), abandoned: make(map[uint64]abandoned),
		others: make(permit.Totals), toldBy: make(map[string]time.Time),
	}
}

// setLimit changes the quota. Permits that were saved up under a higher one are dropped, and a debt
// is limited to one window of the new rate.
func (w *workspace) setLimit(now time.Time, l *Limiter, limit Limit) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if limit == w.limit {
		return
	}
	l.fill(now, w)
	w.limit = limit
	w.refusedUntil = time.Time{}
	w.bucket.Tokens = max(w.bucket.Tokens, -l.maxDebt(w))
	w.limited.Tokens = max(w.limited.Tokens, -l.maxDebt(w))
	w.share.Tokens = max(w.share.Tokens, -l.maxDebt(w))
	l.fill(now, w)
}

// end grants the requests that wait: the workspace has no quota any more.
func (w *workspace) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	for id, r := range w.waiting {
		delete(w.waiting, id)
		r.finished = true
		r.done(true, 0)
	}
}
