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

		f.mu.Lock()
		f.group["vm003"], f.storeCut["vm003"] = 1, true
		f.mu.Unlock()
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
