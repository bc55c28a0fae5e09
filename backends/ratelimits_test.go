package backends

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// fakePerSecond is the limit of each limited server.
const fakePerSecond = 0.5

// fakeLimits are rate limits with a stock of permits by server.
type fakeLimits struct {
	permits map[uint64]int
	wanted  map[uint64]int
}

func limitServers(r *Registry, permits int, ids ...string) *fakeLimits {
	f := &fakeLimits{permits: make(map[uint64]int), wanted: make(map[uint64]int)}
	for _, id := range ids {
		f.permits[r.View().All()[id].Incarnation] = permits
	}
	return f
}

func (f *fakeLimits) Limit(server uint64) (float64, bool) {
	_, limited := f.permits[server]
	return fakePerSecond, limited
}

func (f *fakeLimits) Allows(_ time.Time, server uint64) bool {
	n, limited := f.permits[server]
	return !limited || n > 0
}

func (f *fakeLimits) Acquire(now time.Time, server uint64) bool {
	if !f.Allows(now, server) {
		f.wanted[server]++
		return false
	}
	if f.permits[server] > 0 {
		f.permits[server]--
	}
	return true
}

// TestLimitedServersGetNoMoreThanTheirPermits guards against choices that pass by the rate limit:
// for prompts, for their processing apart, for resumed streams and for plain calls. The load:
// half of the servers are limited and idle, so they look best.
func TestLimitedServersGetNoMoreThanTheirPermits(t *testing.T) {
	is := is.New(t)
	const permits, requests = 3, 60
	b, r := newBalancer(engines(4, 4), peerLoads{"p2": {5, 9000}, "p3": {5, 9000}, "d2": {9, 9000}, "d3": {9, 9000}})
	limits := limitServers(r, permits, "p0", "p1", "d0", "d1")
	b.SetRateLimits(limits)
	chosen := make(map[string]int)
	for i := range requests {
		criteria := engineCriteria(prompt(fmt.Sprint("key", i), 2000, 3000))
		criteria.Resumed = i%3 == 1
		criteria.Prefilled = i%3 == 2
		c, err := b.Choose(time.Now(), criteria)
		is.NoErr(err)
		chosen[c.Server.ID]++
		c.Done()
	}
	for _, id := range []string{"p0", "p1", "d0", "d1"} {
		is.True(chosen[id] <= permits)
	}
	is.True(chosen["d0"]+chosen["d1"] > 0) // what they accept is used

	b, r = newBalancer(serviceServers(3), peerLoads{"s1": {6, 0}, "s2": {6, 0}})
	b.SetRateLimits(limitServers(r, permits, "s0"))
	chosen = make(map[string]int)
	for range requests {
		c, err := b.Choose(time.Now(), &Criteria{Service: "s"})
		is.NoErr(err)
		chosen[c.Server.ID]++
		c.Done()
	}
	is.Equal(chosen["s0"], permits)
}

// TestRequestIsRefusedAtOnceIfAllServersAreLimited guards against requests that exceed the limits
// because no other server is left, against prompts that are processed in vain, and against
// callers that return long before a server accepts another request.
func TestRequestIsRefusedAtOnceIfAllServersAreLimited(t *testing.T) {
	is := is.New(t)
	b, r := newBalancer(engines(2, 2), nil)
	limits := limitServers(r, 0, "d0", "d1")
	b.SetRateLimits(limits)
	_, err := b.Choose(time.Now(), engineCriteria(prompt("k", 2000, 3000)))
	is.True(errors.Is(err, ErrRateLimited)) // the prefill engines are free, but in vain
	is.Equal(len(limits.wanted), 1)         // a permit is requested for a later one
	wait := b.RetryAfter("s")
	is.True(wait >= time.Second && wait < 2*time.Second) // two engines accept one request a second

	b, r = newBalancer(serviceServers(3), nil)
	limits = limitServers(r, 0, "s0", "s1", "s2")
	b.SetRateLimits(limits)
	_, err = b.Choose(time.Now(), &Criteria{Service: "s"})
	is.True(errors.Is(err, ErrRateLimited))
	is.Equal(len(limits.wanted), 3)
	wait = b.RetryAfter("s")
	is.True(wait >= 2*time.Second/3 && wait < 4*time.Second/3) // three servers accept 1.5 a second
	delete(limits.permits, r.View().All()["s1"].Incarnation)
	c, err := b.Choose(time.Now(), &Criteria{Service: "s"})
	is.NoErr(err)
	is.Equal(c.Server.ID, "s1")
}
