package core

import (
	"net"
	"sort"
	"strings"
	"time"
)

// Kind says what may be repeated on a route.
type Kind int

// The kinds of route.
const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests are idempotent.
	Safe
	// Streaming requests are answered by a stream of events. They run at most
	// once unless the route is resumable.
	Streaming
)

// Route is one rule of the configuration: which service a request goes to, and
// how.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Resumable streams are idempotent and can be continued after an event at
	// another backend server.
	Resumable bool
	// Public routes need no key.
	Public bool
	// Timeout is the longest time that a request may be kept waiting.
	Timeout time.Duration
	// Target is the time within which an answer, or the first event of a
	// stream, is on time.
	Target time.Duration
	// TargetPause is the longest pause between the events of a stream that is
	// on time.
	TargetPause time.Duration
	// Priority is the rank; 0 is the most urgent.
	Priority int
	// MaxAttempts bounds on how many backend servers one request may run.
	MaxAttempts int
	// Targets are the services and their weights; there is at least one.
	Targets []WeightedService
}

// WeightedService is one service of a route that splits its requests.
type WeightedService struct {
	Service string
	Weight  int
}

// Idempotent reports whether a request may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.Resumable
}

// Service returns the service for a request; the hash picks by weight.
func (r *Route) Service(hash uint64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if len(r.Targets) == 1 || total <= 0 {
		return r.Targets[0].Service
	}
	point := int(hash % uint64(total))
	for _, t := range r.Targets {
		point -= t.Weight
		if point < 0 {
			return t.Service
		}
	}
	return r.Targets[0].Service
}

// Service is one service of the configuration.
type Service struct {
	Name string
	// MaxConnections bounds the connections that one backend server takes from
	// all nodes together; 0 is unknown.
	MaxConnections int
	// Engine is nil for services that do not serve models.
	Engine *Engine
	// Scaling is nil where servers can't be ordered.
	Scaling *Scaling
}

// Engine is what the configuration says of a service's engines.
type Engine struct {
	Slots         int
	KVCacheTokens int
	KVTokenBytes  float64
	// LinkBitsPerSecond is the bandwidth for KV cache between two engines.
	LinkBitsPerSecond float64
	// HandleTTL is how long an engine keeps the KV cache of a prefill.
	HandleTTL time.Duration
	// Backups and Moves tell whether engines copy the KV cache of a running
	// request to another engine as it grows, or on demand.
	Backups bool
	Moves   bool
}

// Scaling bounds the orders of backend servers in each failure domain.
type Scaling struct {
	Min, Max int
	// BootTime is the time from an order until the server takes requests.
	BootTime time.Duration
	// ReclaimablePrice is the price of a reclaimable server as a share of the
	// price of another one; 0 if there are none.
	ReclaimablePrice float64
	// Prices is the price of a server-second by failure domain.
	Prices map[string]float64
}

// Limits bound what callers may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Workspace is a customer whose keys admit requests.
type Workspace struct {
	Name string
	// Priority takes precedence over the priority of the route; -1 if unset.
	Priority int
}

// Table is one version of the configuration, ready for lookups. It is never
// changed after NewTable.
type Table struct {
	Version  int64
	Limits   Limits
	Services map[string]*Service
	// KeysRequired is false if the configuration has no workspaces.
	KeysRequired bool

	hosts      map[string][]*Route
	workspaces map[string]*Workspace
}

// NewTable builds a table. keys maps each key to its workspace; nil means that
// the deployment has none.
func NewTable(version int64, limits Limits, routes []*Route, services []*Service, keys map[string]*Workspace) *Table {
	t := &Table{
		Version: version, Limits: limits, KeysRequired: keys != nil, workspaces: keys,
		Services: make(map[string]*Service, len(services)), hosts: make(map[string][]*Route),
	}
	for _, s := range services {
		t.Services[s.Name] = s
	}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, list := range t.hosts {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].PathPrefix) > len(list[j].PathPrefix) })
	}
	return t
}

// Route returns the route with the longest prefix of the path, or nil.
func (t *Table) Route(host, path string) *Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Workspace returns the workspace of a key, or nil.
func (t *Table) Workspace(key string) *Workspace {
	if key == "" {
		return nil
	}
	return t.workspaces[key]
}
