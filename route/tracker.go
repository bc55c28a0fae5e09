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

// SubsetServers is how many servers of one role a node talks to. It bounds the
// connections of a node and the memory of its digests (64 KiB per server).
const SubsetServers = 24

// nearShare is the part of a subset that is filled from the nearest servers
// first. The rest is drawn from all servers, so that a failure domain without
// servers nearby doesn't depend on one other failure domain.
const nearShare = 0.5

// staleAfter is the age from which a load report doesn't count for the mean. It
// is several times the lag of reports (up to 1 s).
const staleAfter = 3 * time.Second

// Tracker collects what is known of the servers of one pool and publishes it as
// views. Its writers share a lock; readers of View don't take it.
type Tracker struct {
	pool string
	node string

	current atomic.Pointer[View]

	mu            sync.Mutex
	blockTokens   int
	registrations []Registration
	leaving       map[string]bool
	states        map[string]*serverState
	// index is the position of each server in registrations. Views share it; it
	// is replaced, never changed.
	index map[string]int
	// base is the last view that was built from the registrations and leaving
	// flags. Later ones differ from it in the servers of the subsets only.
	base *View
	// builds counts the base views.
	builds uint64
}

// serverState outlives the views, so that requests in flight stay counted.
type serverState struct {
	own    counters
	report Report
	// others is the reported load less the own load at the time of the report.
	others   Load
	reported bool
	// history and digest are kept for members of a subset only.
	history *history
	digest  *Digest
	// rank is the rendezvous hash of node and server.
	rank uint64
	// member is the last build in which the server was in a subset.
	member uint64
}

// NewTracker returns a tracker for the servers of a pool. node names this node;
// it determines the subset of servers that the node talks to.
func NewTracker(pool, node string, blockTokens int) *Tracker {
	t := &Tracker{
		pool: pool, node: node, blockTokens: blockTokens,
		leaving: make(map[string]bool), states: make(map[string]*serverState),
	}
	t.build(time.Time{})
	return t
}

// View returns the last published view. It is never nil.
func (t *Tracker) View() *View { return t.current.Load() }

// Register replaces the list of registered servers. The change is published.
func (t *Tracker) Register(now time.Time, registrations []Registration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.registrations = append([]Registration(nil), registrations...)
	t.index = make(map[string]int, len(registrations))
	for i, r := range registrations {
		t.index[r.Name] = i
		if t.states[r.Name] == nil {
			t.states[r.Name] = &serverState{rank: xxhash.Sum64String(t.node + "/" + r.Name)}
		}
	}
	for name := range t.states {
		if _, known := t.index[name]; !known {
			delete(t.states, name)
			delete(t.leaving, name)
		}
	}
	t.build(now)
}

// Leave sets or clears the leaving flag of a server. The change is published at
// once, so that the server gets no new work from this node.
func (t *Tracker) Leave(now time.Time, name string, leaving bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.states[name] == nil || t.leaving[name] == leaving {
		return
	}
	t.leaving[name] = leaving
	t.build(now)
}

// Observe takes a load report into account. A report that was measured before
// the last one is ignored. The change is seen after the next Publish.
func (t *Tracker) Observe(name string, r Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.states[name]
	if s == nil || (s.reported && !r.MeasuredAt.After(s.report.MeasuredAt)) {
		return
	}
	s.report, s.reported = r, true
	s.others = r.Load
	if s.history != nil {
		s.others = r.Load.sub(s.history.before(r.MeasuredAt))
	}
}

// Publish makes a view with the present load of the servers in this node's
// subsets. Its cost doesn't grow with the pool but for copying one pointer per
// server. Call it every 100 ms or so.
func (t *Tracker) Publish(now time.Time) *View {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.refresh(now)
}

// build makes the base view from the registrations and leaving flags.
func (t *Tracker) build(now time.Time) {
	t.builds++
	v := &View{Pool: t.pool, BlockTokens: t.blockTokens, Servers: make([]*Server, len(t.registrations)), index: t.index}
	servers := make([]Server, len(t.registrations))
	for i, r := range t.registrations {
		s := &servers[i]
		t.describe(s, r, now)
		v.Servers[i] = s
		if s.Draining {
			v.draining++
		}
		if s.Leaving {
			v.leaving++
		}
	}
	v.both = t.subset(v, config.RoleMixed)
	v.prefill = t.subset(v, config.RolePrefill)
	v.decode = t.subset(v, config.RoleDecode)
	// Digest and history are dropped with the membership, so that servers that
	// come and go don't add up to one of each for the whole pool.
	for _, s := range v.Servers {
		if s.state.member != t.builds {
			s.state.digest, s.digest, s.state.history = nil, nil, nil
		}
	}
	t.base = v
	t.refresh(now)
}

// describe fills in what is known of a server.
func (t *Tracker) describe(s *Server, r Registration, now time.Time) {
	state := t.states[r.Name]
	*s = Server{
		Registration: r, Leaving: t.leaving[r.Name], ReportAge: -1,
		others: state.others, own: &state.own, digest: state.digest, state: state,
	}
	if state.reported {
		s.ReportAge = now.Sub(state.report.MeasuredAt)
		s.Speed = state.report.Speed.or(r.Speed)
	}
	s.Speed = s.Speed.or(DefaultSpeed)
}

// refresh publishes a copy of the base view with the present load of the
// servers in the subsets.
func (t *Tracker) refresh(now time.Time) *View {
	v := *t.base
	v.At = now
	v.Servers = slices.Clone(t.base.Servers)
	members := make([]Server, len(v.both.servers)+len(v.prefill.servers)+len(v.decode.servers))
	fresh := make([]*Server, 0, len(members))
	for _, sub := range []*subset{&v.both, &v.prefill, &v.decode} {
		first := len(fresh)
		for _, old := range sub.servers {
			s := &members[len(fresh)]
			t.describe(s, old.Registration, now)
			s.member = true
			s.state.history.record(now, s.own.load())
			v.Servers[t.index[s.Name]] = s
			fresh = append(fresh, s)
		}
		sub.servers = fresh[first:len(fresh):len(fresh)]
	}
	relaxLoads(fresh)
	t.current.Store(&v)
	return &v
}

// Relaxation times: how fast what is known of the load of others loses its
// value. A prompt is processed within a fraction of a second, an answer takes
// several seconds.
const (
	prefillRelaxation = 400 * time.Millisecond
	decodeRelaxation  = 4 * time.Second
)

// relaxLoads moves the reported load of others towards the mean of the servers
// of the same role, the more the older the report is. Prompts that were waiting
// when a report was made are done when it is a second old; the next ones are as
// likely to be there as elsewhere. A server that has stopped reporting ends at
// the mean, so that it doesn't look idle.
func relaxLoads(servers []*Server) {
	type mean struct{ sum, count [numRoles]float64 }
	var prefill, streams, decode, blocks mean
	for _, s := range servers {
		if s.ReportAge < 0 || s.ReportAge > staleAfter {
			continue
		}
		r := roleIndex(s)
		for _, m := range []struct {
			m *mean
			v int64
		}{{&prefill, s.others.PrefillTokens}, {&streams, s.others.Streams}, {&decode, s.others.DecodeTokens}, {&blocks, s.others.KVBlocks}} {
			m.m.sum[r] += float64(m.v)
			m.m.count[r]++
		}
	}
	for _, s := range servers {
		r := roleIndex(s)
		if s.ReportAge < 0 || prefill.count[r] == 0 {
			continue
		}
		fast := math.Exp(-s.ReportAge.Seconds() / prefillRelaxation.Seconds())
		slow := math.Exp(-s.ReportAge.Seconds() / decodeRelaxation.Seconds())
		if roleOf(s) == config.RolePrefill {
			slow = fast
		}
		if s.ReportAge > staleAfter {
			fast, slow = 0, 0
		}
		relax := func(m *mean, v int64, keep float64) int64 {
			at := m.sum[r] / m.count[r]
			return int64(math.Round(at + (float64(v)-at)*keep))
		}
		s.others = Load{
			Streams: relax(&streams, s.others.Streams, slow), PrefillTokens: relax(&prefill, s.others.PrefillTokens, fast),
			DecodeTokens: relax(&decode, s.others.DecodeTokens, slow), KVBlocks: relax(&blocks, s.others.KVBlocks, slow),
		}
	}
}

// numRoles is the number of roles.
const numRoles = 3

func roleIndex(s *Server) int {
	switch roleOf(s) {
	case config.RolePrefill:
		return 1
	case config.RoleDecode:
		return 2
	}
	return 0
}

// ranked is a server with its rendezvous hash.
type ranked struct {
	server *Server
	hash   uint64
}

// subset picks the servers of a role that this node talks to, by rendezvous
// hashing of node and server name. It changes only by the servers that come
// and go.
func (t *Tracker) subset(v *View, role config.Role) subset {
	var candidates []ranked
	for _, s := range v.Servers {
		if s.usable() && roleOf(s) == role {
			candidates = append(candidates, ranked{s, t.states[s.Name].rank})
		}
	}
	if len(candidates) > SubsetServers {
		slices.SortFunc(candidates, func(a, b ranked) int {
			return cmp.Or(cmp.Compare(a.server.Distance, b.server.Distance), cmp.Compare(a.hash, b.hash))
		})
		rest := candidates[int(SubsetServers*nearShare):]
		slices.SortFunc(rest, func(a, b ranked) int { return cmp.Compare(a.hash, b.hash) })
		candidates = candidates[:SubsetServers]
	}
	var out subset
	names := make([]string, 0, len(candidates))
	for _, c := range candidates {
		state := t.states[c.server.Name]
		if state.digest == nil && t.blockTokens > 0 && role != config.RoleDecode {
			state.digest = &Digest{}
		}
		if state.history == nil {
			state.history = &history{}
		}
		state.member = t.builds
		c.server.digest, c.server.member = state.digest, true
		out.servers = append(out.servers, c.server)
		names = append(names, c.server.Name)
	}
	out.ring = rendezvous.New(names, xxhash.Sum64String)
	return out
}

// roleOf returns the role of a server; a service, which has none, is mixed.
func roleOf(s *Server) config.Role {
	if s.Role == "" {
		return config.RoleMixed
	}
	return s.Role
}
