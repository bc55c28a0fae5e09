// Package backends knows the backend servers of a deployment and picks one for
// each attempt. It does no input or output.
package backends

import (
	"errors"
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// Role is what an engine does.
type Role int

// The roles. Servers that are not engines have RoleNone.
const (
	RoleNone Role = iota
	RolePrefill
	RoleDecode
)

// State says whether a backend server takes new requests.
type State int

// The states.
const (
	Ready State = iota
	Draining
)

// Info is what a backend server's registration says.
type Info struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	Slots         int
	State         State
	Role          Role
	Models        []string
	// BornMillis is the Unix time of the server's start; it tells two
	// incarnations with one id apart.
	BornMillis int64
	// Reclaimable servers may be taken away with their whole failure domain.
	Reclaimable bool
}

// Server is a backend server with what this node has seen of it. Info does not
// change; a registration that does makes a new Server with the same stats.
type Server struct {
	Info
	// Hash is that of the id; nodes name the server by it among each other.
	Hash  uint64
	stats *stats
}

// Work returns the requests and the unprocessed prompt tokens that this node
// has on the server.
func (s *Server) Work() (requests, prefillTokens int64) {
	return s.stats.inflight.Load(), s.stats.prefillTokens.Load()
}

// stats is what this node knows of one incarnation of a backend server.
type stats struct {
	inflight atomic.Int64
	// prefillTokens are prompt tokens that this node has sent and that are not
	// processed yet, less what is expected to be cached.
	prefillTokens atomic.Int64

	report atomic.Pointer[report]

	// failures is a moving average of 1 for a failed attempt and 0 for others, as
	// the bits of a float64. suspectUntil is when the server is tried again after it
	// could not be reached, see sinceEpoch. Both are written with mu held and read
	// without it, since every choice reads them of every server.
	failures     atomic.Uint64
	suspectUntil atomic.Int64

	mu sync.Mutex
	// suspectFor is the length of the pause until suspectUntil.
	suspectFor time.Duration
	// cached is when this node last had each shared part processed here.
	cached map[string]time.Time
}

// report is the load that the server stated with an answer.
type report struct {
	running, waiting, slots int64
	// own is how many of these were requests of this node.
	own int64
	at  time.Time
}

// notSuspect is a suspectUntil that is over at any time.
const notSuspect = math.MinInt64

// epoch is a time of this process. Times relative to it follow the steady clock.
var epoch = time.Now()

// sinceEpoch returns the nanoseconds from the epoch to t.
func sinceEpoch(t time.Time) int64 { return int64(t.Sub(epoch)) }

func newStats() *stats {
	s := &stats{cached: make(map[string]time.Time)}
	s.suspectUntil.Store(notSuspect)
	return s
}

// Load notes the load that the server stated.
func (s *Server) Load(now time.Time, running, waiting, slots int) {
	s.stats.report.Store(&report{int64(running), int64(waiting), int64(slots), s.stats.inflight.Load(), now})
}

const (
	// failureWeight is the weight of the newest attempt in the moving average
	// of failures.
	failureWeight = 0.2
	// minSuspect and maxSuspect bound the pause after a failure to connect.
	minSuspect = 300 * time.Millisecond
	maxSuspect = 3 * time.Second
	// minRefused and maxRefused bound the pause after a full server did not take
	// a request.
	minRefused = 100 * time.Millisecond
	maxRefused = 800 * time.Millisecond
	// busyPause is the pause after a server with free slots did not take a
	// request: it changes its role or is about to leave.
	busyPause = 1200 * time.Millisecond
	// reportDecay is the time in which a stated load loses most of its meaning.
	reportDecay = 500 * time.Millisecond
	// cacheMemory is how long a shared part counts as cached after its last use.
	cacheMemory = 20 * time.Second
	// maxCachedParts bounds the memory for cached parts of one server.
	maxCachedParts = 512
)

func (s *stats) observe(failed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	failures := math.Float64frombits(s.failures.Load()) * (1 - failureWeight)
	if failed {
		failures += failureWeight
	} else {
		s.suspectFor = 0
		s.suspectUntil.Store(notSuspect)
	}
	s.failures.Store(math.Float64bits(failures))
}

// pause keeps requests away from the server for a while that doubles with each
// failure in a row, between least and most.
func (s *stats) pause(now time.Time, least, most time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspectFor = min(max(least, 2*s.suspectFor), most)
	s.suspectUntil.Store(sinceEpoch(now.Add(s.suspectFor)))
}

// refused pauses a server that did not take a request.
func (s *stats) refused(now time.Time) {
	if r := s.report.Load(); r != nil && r.running < r.slots && r.waiting == 0 && now.Sub(r.at) < reportDecay {
		s.pause(now, busyPause, busyPause)
		return
	}
	s.pause(now, minRefused, maxRefused)
}

func (s *stats) health(now time.Time) (suspect bool, failures float64) {
	return sinceEpoch(now) < s.suspectUntil.Load(), math.Float64frombits(s.failures.Load())
}

func (s *stats) touch(parts []Part, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.cached) > maxCachedParts {
		s.forgetOldParts(now)
	}
	for _, p := range parts {
		s.cached[p.ID] = now
	}
}

func (s *stats) forgetOldParts(now time.Time) {
	for id, at := range s.cached {
		if now.Sub(at) > cacheMemory/2 {
			delete(s.cached, id)
		}
	}
}

// cachedTokens returns the tokens of the leading parts that are likely cached.
func (s *stats) cachedTokens(parts []Part, now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	tokens := 0
	for _, p := range parts {
		at, ok := s.cached[p.ID]
		if !ok || now.Sub(at) > cacheMemory {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}

// others estimates how many requests of other nodes the server holds.
func (s *stats) others(now time.Time) float64 {
	r := s.report.Load()
	if r == nil {
		return 0
	}
	n := float64(max(0, r.running+r.waiting-r.own))
	age := now.Sub(r.at)
	if age >= 2*reportDecay {
		return n / 4
	}
	return n * (1 - 0.75*float64(age)/float64(2*reportDecay))
}

// Prompt is what a request says of its prompt.
type Prompt struct {
	Model string
	// Tokens is the length of the prompt, MaxOutputTokens bounds the answer.
	Tokens          int
	MaxOutputTokens int
	// LengthHint is the caller's estimate of the answer in tokens; 0 if none.
	LengthHint int
	// Parts are the parts of the prompt in order. All but the last may be
	// shared with other requests.
	Parts []Part
}

// Part is one part of a prompt.
type Part struct {
	ID     string
	Tokens int
}

// Shared returns the parts that other requests may have too.
func (p *Prompt) Shared() []Part {
	if len(p.Parts) == 0 {
		return nil
	}
	return p.Parts[:len(p.Parts)-1]
}

// Own returns the tokens that no other request shares; 0 if the caller names more
// shared tokens than the prompt has.
func (p *Prompt) Own() int {
	own := p.Tokens
	for _, part := range p.Shared() {
		own -= part.Tokens
	}
	return max(0, own)
}

// Subject is the last shared part: requests of one subject are best served by
// the same engine. It is empty if nothing is shared.
func (p *Prompt) Subject() string {
	shared := p.Shared()
	if len(shared) == 0 {
		return ""
	}
	return shared[len(shared)-1].ID
}

// Work is what has to be known of a request to choose a backend server.
type Work struct {
	Service string
	// Prompt is nil for services that do not serve models.
	Prompt *Prompt
	// Excluded are the ids of servers that must not be chosen.
	Excluded []string
	// Left is the time until the deadline, Target the one within which the
	// first event is on time.
	Left, Target time.Duration
	// TargetPause is the longest pause between events that is on time; 0 if
	// there is no bound.
	TargetPause time.Duration
	// Again tells that the request was chosen for before, so that its prompt
	// counts once in the demand.
	Again bool
	// Prefilled tells that the prompt is processed already.
	Prefilled bool
	// HandleDomain is the failure domain of the engine that processed it.
	HandleDomain string
	// Resumed requests go on after an event and need no prefill apart.
	Resumed bool

	// KVTokenBytes is the KV cache of one token, LinkBitsPerSecond the bandwidth
	// between engines; 0 if unknown.
	KVTokenBytes      float64
	LinkBitsPerSecond float64
}

const (
	// leastPatience, patienceTargets and patiencePauses are how long callers wait
	// for an event: two seconds, four times the target or eight times the target
	// pause, whichever is longest.
	leastPatience   = 2 * time.Second
	patienceTargets = 4
	patiencePauses  = 8
	// patienceShare is the part of that within which the first event must be
	// expected. Estimates are too short under load.
	patienceShare = 0.8
)

// tooLate reports whether a caller would have given up before the first event, so
// that the work would be for nothing.
func (w *Work) tooLate(millis float64) bool {
	patience := max(leastPatience, patienceTargets*w.Target, patiencePauses*w.TargetPause)
	patience = min(patience, w.Left)
	return millis > patienceShare*float64(patience/time.Millisecond)
}

func (w *Work) excluded(id string) bool {
	for _, x := range w.Excluded {
		if x == id {
			return true
		}
	}
	return false
}

// Errors of Choose.
var (
	// ErrNoServer means that no backend server of the service is known.
	ErrNoServer = errors.New("backends: no backend server")
	// ErrFull means that all that are known are full or were tried.
	ErrFull = errors.New("backends: all backend servers are full or were tried")
	// ErrTooLate means that no backend server can answer before the deadline.
	ErrTooLate = errors.New("backends: the deadline is out of reach")
)
