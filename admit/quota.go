package admit

import (
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// QuotaLease allows a node to use a part of the quota of a workspace until the lease
// expires.
type QuotaLease struct {
	// EngineSecondsPerSecond is the rate that the node may use in addition to its floor.
	EngineSecondsPerSecond float64
	// Duration is the length of the lease. The client counts it from the time at which it
	// sent its request and the allocator from the time of its response, so that the client
	// always stops first.
	Duration time.Duration
}

// QuotaAllocator divides the quota of one workspace among the nodes that serve it. One
// node runs it for each workspace. The unexpired leases and the floors of all nodes
// together never exceed the quota. Its methods may be called from any goroutine.
type QuotaAllocator struct {
	mu            sync.Mutex
	quota         float64
	leaseDuration time.Duration
	// floor is the rate that each of the nodes may use without a lease, and nodes their
	// number.
	floor       float64
	nodes       int
	allocations map[string]*allocation
}

// allocation holds the demand and the unexpired leases of one client. The client may be
// using the largest of these leases, because the response with a smaller one may have been
// lost.
type allocation struct {
	demand float64
	leases []lease
}

// lease is a lease that was sent to a client, in engine-seconds per second.
type lease struct {
	rate      float64
	expiresAt time.Time
}

// reservedRate returns the largest rate of the unexpired leases.
func (a *allocation) reservedRate(now time.Time) float64 {
	highest := 0.0
	for _, l := range a.leases {
		if now.Before(l.expiresAt) {
			highest = max(highest, l.rate)
		}
	}
	return highest
}

// addLease adds a lease. It removes expired leases and those that are smaller and expire
// no later, since they no longer affect reservedRate.
func (a *allocation) addLease(now time.Time, l lease) {
	a.leases = slices.DeleteFunc(a.leases, func(old lease) bool {
		return !now.Before(old.expiresAt) || (old.rate <= l.rate && !old.expiresAt.After(l.expiresAt))
	})
	a.leases = append(a.leases, l)
}

// NewQuotaAllocator returns an allocator of a quota in engine-seconds per second. Each of
// the nodes may use floor without a lease, even while it can't reach the allocator; the
// sum of the floors is never leased.
//
// A new allocator doesn't have the leases of its predecessor on another node. It grants
// nothing for one leaseDuration from started.
func NewQuotaAllocator(started time.Time, quota float64, leaseDuration time.Duration, floor float64, nodes int) *QuotaAllocator {
	a := &QuotaAllocator{quota: quota, leaseDuration: leaseDuration, floor: floor, nodes: nodes, allocations: make(map[string]*allocation)}
	// The leases of the predecessor may add up to everything that can be leased.
	a.allocations[previousAllocator] = &allocation{leases: []lease{{a.allocatable(), started.Add(leaseDuration)}}}
	return a
}

// previousAllocator is the key of an allocation for all clients of the previous
// allocator. It is not a valid node name.
const previousAllocator = ""

// allocatable returns the rate that can be leased.
func (a *QuotaAllocator) allocatable() float64 { return max(0, a.quota-a.floor*float64(a.nodes)) }

// SetQuota changes the quota. Existing leases remain valid until they expire.
func (a *QuotaAllocator) SetQuota(quota float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.quota = quota
}

// Allocate grants a client a lease that replaces its previous one. The client receives
// its demand if that is available, and otherwise a share in proportion to the demands of
// all clients. A lease with a rate of 0 is valid; the node may still use its floor.
func (a *QuotaAllocator) Allocate(now time.Time, client string, demand float64) QuotaLease {
	a.mu.Lock()
	defer a.mu.Unlock()
	demand = max(0, demand)
	reservedByOthers, totalDemand := 0.0, demand
	for name, other := range a.allocations {
		if name == client {
			continue
		}
		reserved := other.reservedRate(now)
		if reserved == 0 && !other.hasLease(now) {
			delete(a.allocations, name)
			continue
		}
		reservedByOthers += reserved
		totalDemand += other.demand
	}
	allocatable := a.allocatable()
	allocatedRate := demand
	if totalDemand > allocatable {
		allocatedRate = allocatable * demand / totalDemand
	}
	allocatedRate = min(allocatedRate, max(0, allocatable-reservedByOthers))
	clientAllocation := a.allocations[client]
	if clientAllocation == nil {
		clientAllocation = &allocation{}
		a.allocations[client] = clientAllocation
	}
	clientAllocation.demand = demand
	clientAllocation.addLease(now, lease{allocatedRate, now.Add(a.leaseDuration)})
	return QuotaLease{EngineSecondsPerSecond: allocatedRate, Duration: a.leaseDuration}
}

// hasLease reports whether the client has an unexpired lease, even one with a rate of 0.
// Its demand counts until then.
func (a *allocation) hasLease(now time.Time) bool {
	return slices.ContainsFunc(a.leases, func(l lease) bool { return now.Before(l.expiresAt) })
}

// Release ends the leases of a client before they expire. It must be called only after
// the client has reported that it stopped using them.
func (a *QuotaAllocator) Release(client string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.allocations, client)
}

// Allocated returns the rate that clients of this allocator may be using.
func (a *QuotaAllocator) Allocated(now time.Time) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	sum := 0.0
	for name, allocation := range a.allocations {
		if name != previousAllocator {
			sum += allocation.reservedRate(now)
		}
	}
	return sum
}

// QuotaClient limits the use of the quota of one workspace on one node. Its methods may
// be called from any goroutine.
type QuotaClient struct {
	floor   float64
	limiter *rate.Limiter

	mu        sync.Mutex
	expiresAt time.Time
	// demand adds up the engine-seconds that were requested since the last call of
	// Demand, at demandSince.
	demand      float64
	demandSince time.Time
}

// unitsPerEngineSecond is the number of limiter tokens per engine-second; the limiter
// counts whole tokens.
const unitsPerEngineSecond = 1000

// burstSeconds is the time for which a node may accumulate unused quota.
const burstSeconds = 0.25

// NewQuotaClient returns a client without a lease, which may use its floor in
// engine-seconds per second.
func NewQuotaClient(now time.Time, floor float64) *QuotaClient {
	c := &QuotaClient{floor: floor, demandSince: now, limiter: rate.NewLimiter(0, 0)}
	c.setRate(now, floor)
	return c
}

// setRate sets the rate and the burst of the limiter.
func (c *QuotaClient) setRate(now time.Time, engineSecondsPerSecond float64) {
	c.limiter.SetLimitAt(now, rate.Limit(engineSecondsPerSecond*unitsPerEngineSecond))
	c.limiter.SetBurstAt(now, max(1, int(engineSecondsPerSecond*unitsPerEngineSecond*burstSeconds)))
}

// ApplyLease applies a lease. requestedAt is when the request for it was sent. Leases
// that have expired or expire before the current one are ignored.
func (c *QuotaClient) ApplyLease(now, requestedAt time.Time, l QuotaLease) {
	c.mu.Lock()
	defer c.mu.Unlock()
	expiresAt := requestedAt.Add(l.Duration)
	if !expiresAt.After(now) || expiresAt.Before(c.expiresAt) {
		return
	}
	c.expiresAt = expiresAt
	c.setRate(now, c.floor+l.EngineSecondsPerSecond)
}

// TryAcquire acquires engine-seconds and reports whether they were available. A request
// for more than the burst acquires the whole burst.
func (c *QuotaClient) TryAcquire(now time.Time, engineSeconds float64) bool {
	c.mu.Lock()
	c.demand += engineSeconds
	if !c.expiresAt.IsZero() && !now.Before(c.expiresAt) {
		c.expiresAt = time.Time{}
		c.setRate(now, c.floor)
	}
	c.mu.Unlock()
	units := max(1, int(engineSeconds*unitsPerEngineSecond))
	return c.limiter.AllowN(now, min(units, c.limiter.Burst()))
}

// Rate returns the engine-seconds per second that the node may use now. It serves as the
// weight of the workspace in the Controller of the node.
func (c *QuotaClient) Rate(now time.Time) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.expiresAt.IsZero() && !now.Before(c.expiresAt) {
		c.expiresAt = time.Time{}
		c.setRate(now, c.floor)
	}
	return float64(c.limiter.Limit()) / unitsPerEngineSecond
}

// Demand returns the rate that was requested since the last call, less the floor. It is
// the demand of the next call of Allocate.
func (c *QuotaClient) Demand(now time.Time) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	elapsed := now.Sub(c.demandSince).Seconds()
	if elapsed <= 0 {
		return 0
	}
	demand := max(0, c.demand/elapsed-c.floor)
	c.demand, c.demandSince = 0, now
	return demand
}
