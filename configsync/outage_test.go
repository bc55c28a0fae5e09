package configsync_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/figweir/figweir/config"
	"github.com/figweir/figweir/configsync"
	"github.com/figweir/figweir/store"
)

func failOpen(e configsync.Evidence, _ time.Duration) configsync.Verdict {
	if e.Ready {
		return configsync.Fresh
	}
	return configsync.Refusing
}

func failClosed(e configsync.Evidence, window time.Duration) configsync.Verdict {
	e.Majority.Known = false
	return configsync.Decide(e, window)
}

// TestWithdrawnKeyOnCutOffNode guards against a node that is cut off from the
// store and from most nodes and goes on accepting a key that an accepted change
// has withdrawn.
func TestWithdrawnKeyOnCutOffNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFabric(1)
		defer f.stop()
		f.deploy(8, 4, testDocument(2))
		cutOff := f.nodes["vm003"]
		before, err := cutOff.process.Load().sync.Snapshot()
		is.NoErr(err)
		_, err = before.Authenticate(testKey(0), keySecret)
		is.NoErr(err)

		f.split(true, "vm003")
		d, version, err := config.NewRepository(f.mem).Load(context.Background())
		is.NoErr(err)
		result, err := withdraw(f.nodes["vm000"].process.Load(), d, version.Revision, 0, "operator")
		is.NoErr(err)
		is.Equal(result.Status, configsync.Accepted)
		time.Sleep(cutOff.process.Load().members.EvidenceWindow() + time.Millisecond)

		for _, name := range f.names() {
			s, err := f.nodes[name].process.Load().sync.Snapshot()
			if err != nil {
				is.Equal(name, "vm003") // only the node that is cut off refuses
				continue
			}
			_, err = s.Authenticate(testKey(0), keySecret)
			if !errors.Is(err, config.ErrWithdrawnKey) {
				t.Fatalf("%s accepts a withdrawn key at revision %d, accepted revision %d: %v", name, s.Revision, result.Revision, err)
			}
		}
	})
}

// operatorReads returns the document that an operator edits.
func operatorReads(t *testing.T, f *fabric) (*config.Document, config.Version) {
	d, version, err := config.NewRepository(f.mem).Load(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	return d, version
}

// split puts the named nodes on one side of a partition and cuts them off from
// the store if asked; the others are on the other side.
func (f *fabric) split(storeCut bool, names ...string) {
	f.change(func() {
		f.group = make(map[string]int)
		for _, name := range names {
			f.group[name] = 1
			f.storeCut[name] = storeCut
		}
	})
}

// noneServesBefore fails if a node serves by an older revision.
func (f *fabric) noneServesBefore(t *testing.T, revision store.Revision) {
	for _, name := range f.names() {
		p := f.nodes[name].process.Load()
		if s, err := p.sync.Snapshot(); err == nil && s.Revision < revision {
			t.Fatalf("%s serves (%v) by revision %d although %d was accepted", name, p.sync.Verdict(), s.Revision, revision)
		}
	}
}

// TestChangeByMinorityIsOnlyStored guards against reporting a change as
// accepted that more than half of the VMs don't know and go on without.
func TestChangeByMinorityIsOnlyStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFabric(2)
		defer f.stop()
		f.deploy(5, 2, testDocument(2))
		f.split(true, "vm002", "vm003", "vm004")
		time.Sleep(3 * time.Second)
		d, version := operatorReads(t, f)
		result, err := withdraw(f.nodes["vm000"].process.Load(), d, version.Revision, 0, "operator")
		is.NoErr(err)
		is.Equal(result.Status, configsync.Stored)
		is.Equal(result.Missing, []string{"vm002", "vm003", "vm004"})
		is.Equal(f.nodes["vm003"].process.Load().sync.Verdict(), configsync.ServingByMajority)
		f.heal()
		time.Sleep(3 * time.Second)
		is.Equal(f.nodes["vm003"].process.Load().sync.Revision(), result.Revision)
	})
}

// TestShrunkListGivesNoMajority guards against nodes that were cut off before a
// change and become a majority because the platform removes the others.
func TestShrunkListGivesNoMajority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFabric(3)
		defer f.stop()
		f.deploy(5, 2, testDocument(2))
		f.split(true, "vm003", "vm004")
		d, version := operatorReads(t, f)
		result, err := withdraw(f.nodes["vm000"].process.Load(), d, version.Revision, 0, "operator")
		is.NoErr(err)
		is.Equal(result.Status, configsync.Accepted)
		for _, name := range []string{"vm000", "vm001", "vm002"} {
			f.nodes[name].stop()
			f.mu.Lock()
			delete(f.nodes, name)
			f.mu.Unlock()
		}
		f.publish()
		time.Sleep(3 * testMembership.ListLag)
		f.noneServesBefore(t, result.Revision)
	})
}

// TestRestartedNodeIsCountedOnce guards against a node that acknowledges a
// change, restarts and helps a majority without the change to serve, while its
// acknowledgement still counts for the operator.
func TestRestartedNodeIsCountedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFabric(4)
		defer f.stop()
		f.deploy(5, 2, testDocument(2))
		f.split(true, "vm002", "vm003", "vm004")
		f.change(func() { f.storeCut["vm001"] = true })
		time.Sleep(3 * time.Second)
		d, version := operatorReads(t, f)
		results := make(chan configsync.Result, 1)
		go func() {
			result, err := withdraw(f.nodes["vm000"].process.Load(), d, version.Revision, 0, "operator")
			is.NoErr(err)
			results <- result
		}()
		time.Sleep(10 * time.Millisecond)
		f.change(func() { f.storeDown = true })
		time.Sleep(990 * time.Millisecond)
		is.True(f.nodes["vm001"].process.Load().sync.Revision() > version.Revision) // it has acknowledged the change
		f.nodes["vm001"].stop()
		f.split(true, "vm001", "vm002", "vm003", "vm004")
		f.nodes["vm001"].start()
		time.Sleep(700 * time.Millisecond)
		f.split(true, "vm001", "vm003", "vm004")
		result := <-results
		is.Equal(result.Status, configsync.Accepted) // vm000, vm001 and vm002 have acknowledged
		time.Sleep(f.nodes["vm000"].process.Load().members.EvidenceWindow() + time.Millisecond)
		f.noneServesBefore(t, result.Revision)
	})
}

// TestAvailabilityOfTheRules compares the freshness rule with failing open and
// failing closed through the same outages of one minute. It guards against a
// rule that serves a withdrawn key or that refuses where a majority could serve.
func TestAvailabilityOfTheRules(t *testing.T) {
	rules := []struct {
		name string
		rule func(configsync.Evidence, time.Duration) configsync.Verdict
	}{{"fail open", failOpen}, {"fail closed", failClosed}, {"rule", configsync.Decide}}
	outages := []struct {
		name  string
		begin func(f *fabric)
		// lowest and highest share of samples that the rule may serve
		low, high float64
	}{
		{"store down for everybody", func(f *fabric) { f.storeDown = true }, 1, 1},
		{"one node cut off from the store only", func(f *fabric) { f.storeCut["vm003"] = true }, 1, 1},
		{"one failure domain cut off from everything", func(f *fabric) {
			for _, name := range []string{"vm003", "vm007"} {
				f.group[name], f.storeCut[name] = 1, true
			}
		}, 0.75, 0.78},
		{"half against half, the store on one side", func(f *fabric) {
			for _, name := range []string{"vm004", "vm005", "vm006", "vm007"} {
				f.group[name], f.storeCut[name] = 1, true
			}
		}, 0.5, 0.55},
	}
	for _, outage := range outages {
		for _, r := range rules {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFabric(5)
				defer f.stop()
				f.deploy(8, 4, testDocument(2))
				for _, name := range f.names() {
					f.nodes[name].process.Load().sync.SetRule(r.rule)
				}
				f.change(func() { outage.begin(f) })
				served, samples, withdrawn, status := measureOutage(t, f)
				share := float64(served) / float64(samples)
				t.Logf("%-45s | %-11s | served %.1f%% | withdrawn key served %.1f%% | change %s", outage.name, r.name,
					100*share, 100*float64(withdrawn)/float64(samples), status)
				if r.name != "fail open" {
					is.Equal(withdrawn, 0)
				}
				if r.name == "rule" {
					is.True(share >= outage.low && share <= outage.high)
				}
			})
		}
	}
}

// measureOutage samples every node for a minute in which an operator withdraws
// a key at second 5. It counts the samples in which nodes served and those in
// which the key still worked two seconds after the store had taken the change.
func measureOutage(t *testing.T, f *fabric) (served, samples, withdrawn int, status string) {
	changed := time.Time{}
	status = "refused by the store"
	for step := range 1200 {
		if step == 100 {
			d, version, err := config.NewRepository(f.mem).Load(context.Background())
			if err == nil {
				result, err := withdraw(f.nodes["vm000"].process.Load(), d, version.Revision, 0, "operator")
				if err != nil {
					t.Fatal(err)
				}
				status, changed = string(result.Status), time.Now()
			}
		}
		time.Sleep(50 * time.Millisecond)
		for _, name := range f.names() {
			samples++
			s, err := f.nodes[name].process.Load().sync.Snapshot()
			if err != nil {
				continue
			}
			served++
			if _, err := s.Authenticate(testKey(0), keySecret); err == nil && !changed.IsZero() && time.Since(changed) > 2*time.Second {
				withdrawn++
			}
		}
	}
	return served, samples, withdrawn, status
}
