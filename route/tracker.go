package route

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/figweir/figweir/config"
)

// SubsetServers is the maximum number of servers of one role to which a node sends
// requests. It bounds the connections of a node and the memory for cached blocks (64 KiB
// per server).
const SubsetServers = 24

// nearestShare is the share of a subset that is filled with the nearest servers. The rest
// is selected from all servers by hash, so that a node without servers in its own failure
// domain doesn't depend on one other failure domain.
const nearestShare = 0.5

// staleReportAge is the age from which a load report is not included in the mean. It is
// several times the lag of reports (up to 1 s).
const staleReportAge = 3 * time.Second

// Tracker collects the registrations, flags and load reports of the servers of one pool
// and publishes them as views. Its writing methods share a lock; View doesn't take it.
type Tracker struct {
	pool string
	node string

	currentView atomic.Pointer[View]

	mu            sync.Mutex
	blockTokens   int
	registrations []Registration
	leaving       map[string]bool
	states        map[string]*serverState
	// index holds the position of each server in registrations. Views share the map, so
	// it is replaced and never modified.
	index map[string]int
	// baseView is the last view that was built from the registrations and leaving flags.
	// Published views differ from it only in the servers of the subsets.
	baseView *View
	// generation counts the base views.
	generation uint64
}

// serverState is the state of a server that is kept from view to view, so that requests
// in progress stay counted.
type serverState struct {
	ownCounters counters
	report      Report
	// otherLoad is the reported load less the own load at the time of the report.
	otherLoad Load
	reported  bool
	// history and cachedBlocks are kept only while the server is in a subset.
	history      *history
	cachedBlocks *CachedBlocks
	// hash is the rendezvous hash of this node and the server.
	hash uint64
	// memberGeneration is the last generation in which the server was in a subset.
	memberGeneration uint64
}

// NewTracker returns a tracker for the servers of a pool. node is the name of this node;
// it determines the subset of servers to which the node sends requests.
func NewTracker(pool, node string, blockTokens int) *Tracker {
	t := &Tracker{
		pool: pool, node: node, blockTokens: blockTokens,
		leaving: make(map[string]bool), states: make(map[string]*serverState),
	}
	t.rebuild(time.Time{})
	return t
}

// View returns the last published view. It is never nil.
func (t *Tracker) View() *View { return t.currentView.Load() }

// Register replaces the registered servers and publishes the change.
func (t *Tracker) Register(now time.Time, registrations []Registration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.registrations = append([]Registration(nil), registrations...)
	t.index = make(map[string]int, len(registrations))
	for i, r := range registrations {
		t.index[r.Name] = i
		if t.states[r.Name] == nil {
			t.states[r.Name] = &serverState{hash: xxhash.Sum64String(t.node + "/" + r.Name)}
		}
	}
	for name := range t.states {
		if _, known := t.index[name]; !known {
			delete(t.states, name)
			delete(t.leaving, name)
		}
	}
	t.rebuild(now)
}

// SetLeaving sets or clears the leaving flag of a server. The change is published
// immediately, so that this node sends no new requests to the server while it is set.
func (t *Tracker) SetLeaving(now time.Time, name string, leaving bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.states[name] == nil || t.leaving[name] == leaving {
		return
	}
	t.leaving[name] = leaving
	t.rebuild(now)
}

// Observe records a load report. A report that was not measured after the last one is
// ignored. The load is visible in views after the next Publish.
func (t *Tracker) Observe(name string, r Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.states[name]
	if s == nil || (s.reported && !r.MeasuredAt.After(s.report.MeasuredAt)) {
		return
	}
	s.report, s.reported = r, true
	s.otherLoad = r.Load
	if s.history != nil {
		s.otherLoad = r.Load.sub(s.history.loadAt(r.MeasuredAt))
	}
}

// Publish publishes a view with the current load of the servers in the subsets. Its cost
// doesn't grow with the pool except for copying one pointer per server. It should be
// called about every 100 ms.
func (t *Tracker) Publish(now time.Time) *View {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.publishLocked(now)
}

// rebuild builds and publishes a base view from the registrations and leaving flags. t.mu
// must be held.
func (t *Tracker) rebuild(now time.Time) {
	t.generation++
	v := &View{Pool: t.pool, BlockTokens: t.blockTokens, Servers: make([]*Server, len(t.registrations)), index: t.index}
	servers := make([]Server, len(t.registrations))
	for i, r := range t.registrations {
		s := &servers[i]
		t.fillServer(s, r, now)
		v.Servers[i] = s
		if s.Draining {
			v.draining++
		}
		if s.Leaving {
			v.leaving++
		}
	}
	v.mixed = t.subset(v, config.RoleMixed)
	v.prefill = t.subset(v, config.RolePrefill)
	v.decode = t.subset(v, config.RoleDecode)
	// Servers that are no longer in a subset lose their cached blocks and their history.
	// Otherwise, as subsets change, the node would in time keep both for every server of
	// the pool.
	for _, s := range v.Servers {
		if s.state.memberGeneration != t.generation {
			s.state.cachedBlocks, s.cachedBlocks, s.state.history = nil, nil, nil
		}
	}
	t.baseView = v
	t.publishLocked(now)
}

// fillServer sets all fields of a server from its registration and state.
func (t *Tracker) fillServer(s *Server, r Registration, now time.Time) {
	state := t.states[r.Name]
	*s = Server{
		Registration: r, Leaving: t.leaving[r.Name], ReportAge: -1,
		otherLoad: state.otherLoad, ownCounters: &state.ownCounters, cachedBlocks: state.cachedBlocks, state: state,
	}
	if state.reported {
		s.ReportAge = now.Sub(state.report.MeasuredAt)
		s.Speed = state.report.Speed.or(r.Speed)
	}
	s.Speed = s.Speed.or(DefaultSpeed)
}

// publishLocked publishes a copy of the base view with the current load of the servers in
// the subsets. t.mu must be held.
func (t *Tracker) publishLocked(now time.Time) *View {
	v := *t.baseView
	v.PublishedAt = now
	v.Servers = slices.Clone(t.baseView.Servers)
	copies := make([]Server, len(v.mixed.servers)+len(v.prefill.servers)+len(v.decode.servers))
	current := make([]*Server, 0, len(copies))
	for _, sub := range []*subset{&v.mixed, &v.prefill, &v.decode} {
		first := len(current)
		for _, old := range sub.servers {
			s := &copies[len(current)]
			t.fillServer(s, old.Registration, now)
			s.inSubset = true
			s.state.history.record(now, s.ownCounters.load())
			v.Servers[t.index[s.Name]] = s
			current = append(current, s)
		}
		sub.servers = current[first:len(current):len(current)]
	}
	decayLoads(current)
	t.currentView.Store(&v)
	return &v
}

// prefillLoadDecay and decodeLoadDecay are the time constants with which the reported
// load of other nodes loses its weight. A prompt is processed within a fraction of a
// second, while an answer takes several seconds.
const (
	prefillLoadDecay = 400 * time.Millisecond
	decodeLoadDecay  = 4 * time.Second
)

// decayLoads moves the reported load of other nodes towards the mean of the servers with
// the same role, the more the older the report is. Prompts that were queued at the time
// of a report have been processed a second later, and later prompts are as likely to be
// on this server as on any other. A server that has stopped reporting gets the mean, so
// that it doesn't look idle.
func decayLoads(servers []*Server) {
	type roleSums struct{ sum, count [numRoles]float64 }
	var prefill, streams, decode, blocks roleSums
	for _, s := range servers {
		if s.ReportAge < 0 || s.ReportAge > staleReportAge {
			continue
		}
		r := roleIndex(s)
		for _, entry := range []struct {
			sums  *roleSums
			value int64
		}{{&prefill, s.otherLoad.PrefillTokens}, {&streams, s.otherLoad.Streams}, {&decode, s.otherLoad.DecodeTokens}, {&blocks, s.otherLoad.KVBlocks}} {
			entry.sums.sum[r] += float64(entry.value)
			entry.sums.count[r]++
		}
	}
	for _, s := range servers {
		r := roleIndex(s)
		if s.ReportAge < 0 || prefill.count[r] == 0 {
			continue
		}
		prefillWeight := math.Exp(-s.ReportAge.Seconds() / prefillLoadDecay.Seconds())
		decodeWeight := math.Exp(-s.ReportAge.Seconds() / decodeLoadDecay.Seconds())
		if roleOf(s) == config.RolePrefill {
			decodeWeight = prefillWeight
		}
		if s.ReportAge > staleReportAge {
			prefillWeight, decodeWeight = 0, 0
		}
		decay := func(sums *roleSums, value int64, weight float64) int64 {
			average := sums.sum[r] / sums.count[r]
			return int64(math.Round(average + (float64(value)-average)*weight))
		}
		s.otherLoad = Load{
			Streams: decay(&streams, s.otherLoad.Streams, decodeWeight), PrefillTokens: decay(&prefill, s.otherLoad.PrefillTokens, prefillWeight),
			DecodeTokens: decay(&decode, s.otherLoad.DecodeTokens, decodeWeight), KVBlocks: decay(&blocks, s.otherLoad.KVBlocks, decodeWeight),
		}
	}
}

// numRoles is the number of values that roleIndex returns.
const numRoles = 3

// roleIndex returns the index of the server's role in the sums of decayLoads.
func roleIndex(s *Server) int {
	switch roleOf(s) {
	case config.RolePrefill:
		return 1
	case config.RoleDecode:
		return 2
	}
	return 0
}

// hashedServer is a server with its rendezvous hash.
type hashedServer struct {
	server *Server
	hash   uint64
}

// subset selects the servers of a role to which this node sends requests, by rendezvous
// hashing of the names of the node and the server. The subset changes only as servers are
// added or removed.
func (t *Tracker) subset(v *View, role config.Role) subset {
	var candidates []hashedServer
	for _, s := range v.Servers {
		if s.usable() && roleOf(s) == role {
			candidates = append(candidates, hashedServer{s, t.states[s.Name].hash})
		}
	}
	if len(candidates) > SubsetServers {
		slices.SortFunc(candidates, func(a, b hashedServer) int {
			return cmp.Or(cmp.Compare(a.server.RoundTripTime, b.server.RoundTripTime), cmp.Compare(a.hash, b.hash))
		})
		remaining := candidates[int(SubsetServers*nearestShare):]
		slices.SortFunc(remaining, func(a, b hashedServer) int { return cmp.Compare(a.hash, b.hash) })
		candidates = candidates[:SubsetServers]
	}
	var selected subset
	names := make([]string, 0, len(candidates))
	for _, c := range candidates {
		state := t.states[c.server.Name]
		if state.cachedBlocks == nil && t.blockTokens > 0 && role != config.RoleDecode {
			state.cachedBlocks = &CachedBlocks{}
		}
		if state.history == nil {
			state.history = &history{}
		}
		state.memberGeneration = t.generation
		c.server.cachedBlocks, c.server.inSubset = state.cachedBlocks, true
		selected.servers = append(selected.servers, c.server)
		names = append(names, c.server.Name)
	}
	selected.rendezvous = rendezvous.New(names, xxhash.Sum64String)
	return selected
}

// roleOf returns the role of a server. Servers of a service have no role and count as
// mixed.
func roleOf(s *Server) config.Role {
	if s.Role == "" {
		return config.RoleMixed
	}
	return s.Role
}
