package core

import (
	"net"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/figweir/figweir/backends"
)

// RouteKind determines whether a request of a route may run more than once.
type RouteKind int

// The kinds of routes.
const (
	// Unsafe requests run at most once.
	Unsafe RouteKind = iota
	// Safe requests are idempotent.
	Safe
	// Streaming requests are answered by a stream of events. They run at most once
	// unless the route is resumable.
	Streaming
)

// Route is one routing rule of the configuration. It selects the service of a request
// and sets its time limits, priority and retries.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       RouteKind
	// Resumable means that streams are idempotent and can be continued after any
	// event on another backend server.
	Resumable bool
	// Public routes need no API key.
	Public bool
	// Timeout is the longest time until a request is answered.
	Timeout time.Duration
	// TargetLatency is the time within which an answer, or the first event of a
	// stream, should arrive.
	TargetLatency time.Duration
	// TargetPause is the target for the longest pause between the events of a
	// stream; 0 if there is none.
	TargetPause time.Duration
	// Priority is 0 for the most urgent requests.
	Priority int
	// MaxAttempts is the number of backend servers on which one request may run.
	MaxAttempts int
	// Targets are the services with their weights; there is at least one.
	Targets []WeightedService
}

// WeightedService is a service and its share of the requests of a route.
type WeightedService struct {
	Service string
	Weight  int
}

// Idempotent reports whether a request may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.Resumable
}

// Service returns the service for a request with the given hash. Requests are
// distributed in proportion to the weights.
func (r *Route) Service(hash uint64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if len(r.Targets) == 1 || total <= 0 {
		return r.Targets[0].Service
	}
	offset := int(hash % uint64(total))
	for _, t := range r.Targets {
		offset -= t.Weight
		if offset < 0 {
			return t.Service
		}
	}
	return r.Targets[0].Service
}

// Service is one service of the configuration.
type Service struct {
	Name string
	// MaxConnections limits the connections of all nodes together to one backend
	// server; 0 if unknown.
	MaxConnections int
	// HealthPath is the path of the health check; empty if there is none.
	HealthPath string
	// Engine is nil for services that don't serve models.
	Engine *Engine
	// Scaling is nil if no servers can be ordered for the service.
	Scaling *Scaling
}

// Engine holds the configured properties of the engines of a service.
type Engine struct {
	// Slots is how many requests one engine runs at a time. KVCacheTokens is the size
	// of its KV cache, and KVTokenBytes the size of the cache of one token.
	Slots         int
	KVCacheTokens int
	KVTokenBytes  float64
	// LinkBitsPerSecond is the bandwidth for transfers of KV cache between engines.
	LinkBitsPerSecond float64
	// HandleTTL is how long an engine keeps the KV cache of a prefill.
	HandleTTL time.Duration
	// Engines may copy the KV cache of running requests to another engine as it grows
	// (backups) or on demand (migrations).
	Backups    bool
	Migrations bool
}

// Scaling holds the limits and prices for ordering backend servers.
type Scaling struct {
	// The minimum and maximum number of servers in each failure domain.
	MinServers, MaxServers int
	// StartupTime is the time from an order until the server accepts requests.
	StartupTime time.Duration
	// ReclaimablePrice is the price of a reclaimable server relative to a standard
	// one; 0 if reclaimable servers are not offered.
	ReclaimablePrice float64
	// Prices holds the price of a server-second by failure domain.
	Prices map[string]float64
}

// Limits bound the size and the duration of requests that callers send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Workspace is a customer whose API keys authorize requests.
type Workspace struct {
	Name string
	// Priority overrides the priority of the route; -1 if unset.
	Priority int
	// Quota is nil if what is sent for the workspace is not limited.
	Quota *Quota
}

// Quota limits what all nodes together send to backend servers for a workspace.
type Quota struct {
	// PerSecond is greater than 0. It and Burst are in the unit of Amount.
	PerSecond float64
	Burst     float64
	// Tokens means that a request counts as its prompt tokens and the longest answer;
	// otherwise each counts 1.
	Tokens bool
	// UnstatedTokens is what a request without token counts counts as if Tokens is set.
	UnstatedTokens int
}

// Amount returns what a request counts as. With Tokens it is at least 1, so that no request is free.
func (q *Quota) Amount(p *backends.Prompt) int64 {
	if !q.Tokens {
		return 1
	}
	if p == nil || p.Tokens+p.MaxOutputTokens <= 0 {
		return int64(max(1, q.UnstatedTokens))
	}
	return int64(p.Tokens + p.MaxOutputTokens)
}

// Table is one version of the configuration, indexed for lookups. It is immutable.
type Table struct {
	Version  int64
	Limits   Limits
	Services map[string]*Service
	// KeysRequired is false if the configuration has no workspaces.
	KeysRequired bool
	// Quotas holds the quotas by the names of the workspaces that have one.
	Quotas map[string]*Quota

	routesByHost    map[string][]*Route
	workspacesByKey map[string]*Workspace
}

// ShortestTargets returns the shortest target latency and target pause of the streaming
// routes that lead to a service; 0 if none has a target.
func (t *Table) ShortestTargets(service string) (latency, pause time.Duration) {
	for _, routes := range t.routesByHost {
		for _, r := range routes {
			leads := slices.ContainsFunc(r.Targets, func(w WeightedService) bool { return w.Service == service })
			if r.Kind != Streaming || !leads {
				continue
			}
			latency, pause = shorter(latency, r.TargetLatency), shorter(pause, r.TargetPause)
		}
	}
	return latency, pause
}

// shorter returns the shorter of two durations, where 0 means none.
func shorter(a, b time.Duration) time.Duration {
	if a <= 0 || b > 0 && b < a {
		return b
	}
	return a
}

// NewTable builds a table. keys maps each API key to its workspace; nil means that the
// deployment requires no keys.
func NewTable(version int64, limits Limits, routes []*Route, services []*Service, keys map[string]*Workspace) *Table {
	t := &Table{
		Version: version, Limits: limits, KeysRequired: keys != nil, workspacesByKey: keys,
		Services: make(map[string]*Service, len(services)), routesByHost: make(map[string][]*Route),
	}
	for _, s := range services {
		t.Services[s.Name] = s
	}
	for _, w := range keys {
		if w.Quota != nil {
			if t.Quotas == nil {
				t.Quotas = make(map[string]*Quota)
			}
			t.Quotas[w.Name] = w.Quota
		}
	}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		t.routesByHost[host] = append(t.routesByHost[host], r)
	}
	for _, list := range t.routesByHost {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].PathPrefix) > len(list[j].PathPrefix) })
	}
	return t
}

// Route returns the route of the host whose path prefix is the longest match, or nil.
func (t *Table) Route(host, path string) *Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range t.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Workspace returns the workspace of an API key, or nil.
func (t *Table) Workspace(key string) *Workspace {
	if key == "" {
		return nil
	}
	return t.workspacesByKey[key]
}
