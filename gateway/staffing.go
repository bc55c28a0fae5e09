package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"sort"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/figweir/figweir/backends"
	"github.com/figweir/figweir/core"
	"github.com/figweir/figweir/plan"
	"github.com/figweir/figweir/platform"
	"github.com/figweir/figweir/store"
)

const (
	// staffEvery is the time between two looks at the backend servers.
	staffEvery = 500 * time.Millisecond
	// rolePause is how long a role order has to take effect before it is repeated.
	rolePause = 5 * time.Second
	// unavailableFor is how long a failure domain without reclaimable servers
	// is not asked again.
	unavailableFor = 8 * time.Second
	// maxRoleShare bounds the part of the engines that changes its role at a
	// time, since they serve nothing meanwhile; idle engines may all change.
	maxRoleShare = 0.15
	// roleCalls is how many role orders are sent at a time.
	roleCalls = 8
	// settleTime is how long a node that starts must have known of no more backend
	// servers before it orders: an order counts those that are known, and servers
	// that register later would be given up.
	settleTime = 2 * time.Second
)

// staffer orders backend servers and their roles while this node holds the duty.
type staffer struct {
	*Gateway
	cloud   *platform.Cloud
	backend *platform.Backend
	// since is when this node took the duty; zero while it does not hold it.
	since time.Time
	// grown is when more backend servers than before were known, most how many.
	grown   time.Time
	most    int
	settled bool
	// ordered holds what was last ordered by service, failure domain and class;
	// the count in the keys is zero.
	ordered    *plan.Orders[platform.ServerOrder]
	roleOrders map[string]time.Time
	// unavailable holds until when a failure domain is taken to have no
	// reclaimable servers.
	unavailable map[string]time.Time
	demand      demand
	// least is the number of engines of each service when this node took the
	// duty. Fewer are not ordered: the demand seen so far may be low by chance.
	// It grows with the demand.
	least map[string]int
	// stored is the revision of the record of least in the store.
	stored store.Revision
}

func newStaffer(g *Gateway, cloud *platform.Cloud, backend *platform.Backend) *staffer {
	return &staffer{
		Gateway: g, cloud: cloud, backend: backend, ordered: plan.NewOrders[platform.ServerOrder](),
		roleOrders: make(map[string]time.Time), unavailable: make(map[string]time.Time), least: make(map[string]int),
	}
}

func (s *staffer) run(ctx context.Context) {
	ticker := time.NewTicker(staffEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			now := time.Now()
			s.settle(now)
			s.demand.observe(s.balancer.PromptTokens()+s.loads.nodes.PromptTokens(), s.streams())
			token, held := s.duty.Fence()
			if !held {
				s.since = time.Time{}
				s.ordered.Reset()
				clear(s.least)
				continue
			}
			if s.since.IsZero() {
				s.since = now
				s.load(ctx)
			}
			table := s.table.Load()
			if table == nil || !s.settled {
				continue
			}
			for _, service := range table.Services {
				s.staff(ctx, now, token, service)
			}
		}
	}
}

// settle notes whether the registrations that this node read at its start are
// likely to be complete.
func (s *staffer) settle(now time.Time) {
	known := len(s.registry.View().All())
	if known > s.most || s.grown.IsZero() {
		s.most, s.grown = known, now
	}
	s.settled = s.settled || known > 0 && now.Sub(s.grown) >= settleTime
}

func (s *staffer) staff(ctx context.Context, now time.Time, token uint64, service *core.Service) {
	if service.Engine == nil && service.Scaling == nil {
		return
	}
	v := s.view(now, service)
	if service.Engine != nil {
		s.changeRoles(ctx, now, token, v)
	}
	if service.Scaling == nil {
		return
	}
	// A server that is given up and ordered again costs its start twice, and
	// the cache it had, so the number follows peaks of the demand only.
	if v.PromptTokensPerSecond > 0 || s.ordered.Empty() {
		s.raise(ctx, service.Name, v.PerDomain()*len(v.FailureDomains))
		v.Least = s.least[service.Name]
	}
	s.orderServers(ctx, now, token, service, v)
}

func (s *staffer) noteUnavailable(now time.Time, v *plan.StaffView) {
	for _, d := range v.FailureDomains {
		v.Unavailable[d] = now.Before(s.unavailable[d])
	}
}

// staffKey holds how many engines of each service were ordered, so that the next
// holder of the duty does not order fewer while those still start.
const staffKey = "figweir/staff"

// load takes over what the last holder has ordered.
func (s *staffer) load(ctx context.Context) {
	entry, err := s.store.Get(ctx, staffKey)
	if err == nil {
		err = json.Unmarshal(entry.Value, &s.least)
	}
	s.stored = entry.Revision
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		s.log.Info("ordered engines not read, starting from those that are there", "cause", err.Error())
	}
}

// raise notes that a service should have at least n engines.
func (s *staffer) raise(ctx context.Context, service string, n int) {
	if n <= s.least[service] {
		return
	}
	s.least[service] = n
	raw, err := json.Marshal(s.least)
	if err == nil {
		s.stored, err = s.store.Put(ctx, staffKey, raw, s.stored, 0)
	}
	if err != nil {
		s.log.Info("ordered engines not stored", "cause", err.Error())
	}
}

func (s *staffer) view(now time.Time, service *core.Service) *plan.StaffView {
	engines := s.engines(service.Name)
	if s.least[service.Name] == 0 {
		s.least[service.Name] = len(engines)
	}
	v := &plan.StaffView{
		Engines: engines, Least: s.least[service.Name], Unavailable: make(map[string]bool),
		PromptTokensPerSecond: s.demand.tokens.highest, Streams: s.demand.streams.highest,
		Settled:               !s.demand.since.IsZero() && now.Sub(s.demand.since) > demandSettles,
		EngineTokensPerSecond: s.balancer.PrefillTokensPerSecond(),
	}
	if service.Engine != nil {
		v.Slots = service.Engine.Slots
	}
	if service.Scaling != nil {
		v.MinPerDomain, v.MaxPerDomain = service.Scaling.Min, service.Scaling.Max
		v.ReclaimablePrice = service.Scaling.ReclaimablePrice
		for d := range service.Scaling.Prices {
			v.FailureDomains = append(v.FailureDomains, d)
		}
		sort.Strings(v.FailureDomains)
		s.noteUnavailable(now, v)
	}
	return v
}

// streams returns the requests at decode engines.
func (s *staffer) streams() int {
	n := 0
	for _, b := range s.registry.View().All() {
		if b.Role != backends.RoleDecode {
			continue
		}
		own, _ := b.Work()
		others, _ := s.loads.Load(b.Hash)
		n += int(own + others)
	}
	return n
}

func (s *staffer) engines(service string) []plan.Engine {
	var list []plan.Engine
	for _, b := range s.registry.View().Servers(service) {
		requests, _ := b.Work()
		others, _ := s.loads.Load(b.Hash)
		list = append(list, plan.Engine{
			ID: b.ID, FailureDomain: b.FailureDomain, Prefill: b.Role == backends.RolePrefill,
			Reclaimable: b.Reclaimable, Requests: int(requests + others),
		})
	}
	return list
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func (s *staffer) changeRoles(ctx context.Context, now time.Time, token uint64, v *plan.StaffView) {
	changing := 0
	for id, at := range s.roleOrders {
		if now.Sub(at) < rolePause {
			changing++
		} else {
			delete(s.roleOrders, id)
		}
	}
	view := s.registry.View().All()
	limit := max(1, int(maxRoleShare*float64(len(v.Engines))))
	if idle(v.Engines) {
		limit = len(v.Engines)
	}
	// Engines that don't answer must not hold up the orders to the others.
	var group errgroup.Group
	group.SetLimit(roleCalls)
	for _, c := range v.Roles(limit - changing) {
		if _, ordered := s.roleOrders[c.ID]; ordered {
			continue
		}
		s.roleOrders[c.ID] = now
		group.Go(func() error {
			s.changeRole(ctx, token, view[c.ID], c.Prefill, v)
			return nil
		})
	}
	_ = group.Wait() // the calls log their errors
}

func (s *staffer) changeRole(ctx context.Context, token uint64, server *backends.Server, prefill bool, v *plan.StaffView) {
	role := backends.RoleDecode
	if prefill {
		role = backends.RolePrefill
	}
	err := s.backend.ChangeRole(ctx, server, role, s.settings.Name, token)
	s.log.Info("role ordered", "backend_server", server.ID, "prefill", prefill, "streams", int(v.Streams), "decode_engines", v.DecodeEngines(), "fencing_token", token, "error", errorText(err))
}

// idle reports whether no engine has a request.
func idle(engines []plan.Engine) bool {
	for _, e := range engines {
		if e.Requests > 0 {
			return false
		}
	}
	return true
}
