package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/figweir/figweir/platform/backendsim"
	"github.com/figweir/figweir/store"
)

// setQuota writes a new version of the configuration in which the workspace has a quota.
func (d *deployment) setQuota(version int64, perSecond, burst float64) {
	is := is.New(d.t)
	raw, err := backendsim.Config(version, nil)
	is.NoErr(err)
	var config map[string]any
	is.NoErr(json.Unmarshal(raw, &config))
	config["tenants"] = []any{map[string]any{"name": "a", "api_keys": []string{"key-a"}, "rate_per_s": perSecond, "burst": burst}}
	raw, err = json.Marshal(config)
	is.NoErr(err)
	entry, err := d.store.Get(context.Background(), backendsim.ConfigKey)
	is.NoErr(err)
	_, err = d.store.Put(context.Background(), backendsim.ConfigKey, raw, entry.Revision, store.NoLease)
	is.NoErr(err)
	for _, g := range d.gateways {
		for g.config.Version() != version {
			time.Sleep(time.Millisecond)
		}
	}
}

// checkRefusalOverQuota sends requests to one node until one is refused, and checks that it says when
// to come back. At most the given number runs.
func (d *deployment) checkRefusalOverQuota(most int) {
	is := is.New(d.t)
	for i := range most + 1 {
		r, err := http.NewRequest(http.MethodPost, "http://"+d.hosts[0]+"/stream/x", http.NoBody)
		is.NoErr(err)
		r.Host = backendsim.Host
		backendsim.SetCallerHeaders(r.Header, fmt.Sprint("refused", i), "key-a", 3*time.Second)
		resp, err := http.DefaultTransport.RoundTrip(r)
		is.NoErr(err)
		_, err = io.Copy(io.Discard, resp.Body)
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
		if resp.StatusCode == http.StatusOK {
			continue
		}
		is.Equal(resp.StatusCode, http.StatusTooManyRequests)
		seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		is.NoErr(err)
		is.True(seconds > 0)
		return
	}
	d.t.Fatalf("%d requests were not refused", most+1)
}

// TestQuotaHoldsForAllNodesTogether guards against nodes that let a workspace send its quota through
// each of them, against requests over the quota that run, and against a lower quota that does not
// become binding. The load: requests through five nodes in turn as fast as they are answered.
func TestQuotaHoldsForAllNodesTogether(t *testing.T) {
	is := is.New(t)
	const nodes, perSecond, burst = 5, 20, 40
	d := startDeployment(t, nodes, 2)
	d.setQuota(2, perSecond, burst)
	// flood sends for a time and returns how many requests ran.
	flood := func(span time.Duration) (count int) {
		for i, start := 0, time.Now(); time.Since(start) < span; i++ {
			status, ran := d.send(i%nodes, "part")
			is.Equal(ran, status == http.StatusOK)
			is.True(ran || status == http.StatusTooManyRequests)
			if ran {
				count++
			}
		}
		return count
	}
	time.Sleep(burst * time.Second / perSecond) // the bucket fills
	began := time.Now()
	count := flood(3 * time.Second)
	elapsed := time.Since(began)
	t.Logf("%d requests in %v", count, elapsed)
	is.True(float64(count) <= (perSecond*elapsed.Seconds()+burst)*1.05+1)
	is.True(count >= burst) // the burst was usable
	d.checkRefusalOverQuota(burst)
	d.setQuota(3, 2, 2)
	began = time.Now()
	count = flood(3 * time.Second)
	elapsed = time.Since(began)
	t.Logf("%d requests in %v under the lower quota", count, elapsed)
	is.True(float64(count) <= (2*elapsed.Seconds()+2)*1.05+1)
	// Without a quota nothing is limited.
	d.setQuota(4, 0, 0)
	for i := range 50 {
		status, _ := d.send(i%nodes, "part")
		is.Equal(status, http.StatusOK)
	}
}
