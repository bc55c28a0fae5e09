package discovery

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/figweir/figweir/core"
	"github.com/figweir/figweir/quarantine"
	"github.com/figweir/figweir/store"
)

// newTestConfig returns a configuration follower; the length of a document is its version.
func newTestConfig() *Config {
	return NewConfig(new(atomic.Pointer[core.Table]), "config", func(raw []byte) (*core.Table, error) {
		return core.NewTable(int64(len(raw)), core.Limits{}, nil, nil, nil), nil
	}, applyBound, logr.Discard())
}

// configEntry returns a version of the configuration as read in an era.
func configEntry(t *testing.T, era store.Era, raw string) store.Entry {
	e := inEra(t, era, 1, "", raw)
	e.Key = "config"
	return e
}

// TestConfigurationOfCopyIsNotInForce guards against a configuration that goes back with the store,
// and against one that stays although the new history has another one under its version. The load:
// a version that was never acknowledged, the copy's older one, and the operator's next ones.
func TestConfigurationOfCopyIsNotInForce(t *testing.T) {
	is := is.New(t)
	c := newTestConfig()
	read := func(era store.Era, raw string) string {
		c.reset([]store.Entry{configEntry(t, era, raw)}, 0, false)
		now, _ := c.Raw()
		return string(now)
	}
	is.Equal(read(1, "aaaa"), "aaaa")
	is.Equal(read(2, "aa"), "aaaa") // the copy
	c.reset(nil, 0, true)           // the key is missing for a moment
	is.Equal(c.Version(), int64(4))
	is.Equal(read(2, "bbbb"), "bbbb") // another one under the version that was lost
	is.Equal(read(1, "aaaa"), "bbbb") // a late response of the old history
	is.Equal(read(3, "bbbb"), "bbbb")
	is.Equal(read(3, "ccccc"), "ccccc")
}

// TestNodeStartedAfterRestoreAsksPeersFirst guards against a node that serves what an operator has
// withdrawn, because it started before the restored store had the newest version again. The load:
// peers with a newer version, of which some don't answer, and a store that keeps the older one.
func TestNodeStartedAfterRestoreAsksPeersFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newTestConfig()
		servers, _ := newTestServers()
		servers.follower.following.Store(true)
		c.follower.following.Store(true)
		relay := NewRelay(c, servers, quarantine.NewTracker(1), partlyDeadPuller{PeerState{Config: []byte("xxxx")}},
			func() []string { return []string{"dead", "alive", "dead too"} }, logr.Discard())
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { relay.Run(ctx); close(done) }()
		c.reset([]store.Entry{configEntry(t, 2, "xx")}, 0, false)
		is.Equal(c.Version(), int64(0))
		for range 20 {
			time.Sleep(pullTimeout / 10)
			is.True(c.Version() != 2)
		}
		is.Equal(c.Version(), int64(4))
		cancel()
		<-done
	})
}

// TestNodeWithoutPeersServesByStore guards against a node that waits for other nodes that don't
// exist, or don't answer.
func TestNodeWithoutPeersServesByStore(t *testing.T) {
	for _, peers := range [][]string{nil, {"dead", "dead too", "dead", "dead", "dead", "dead", "dead", "dead"}} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			c := newTestConfig()
			servers, _ := newTestServers()
			servers.follower.following.Store(true)
			c.follower.following.Store(true)
			relay := NewRelay(c, servers, quarantine.NewTracker(1), partlyDeadPuller{}, func() []string { return peers }, logr.Discard())
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() { relay.Run(ctx); close(done) }()
			c.reset([]store.Entry{configEntry(t, 0, "xx")}, 0, false)
			time.Sleep(firstPullRounds*pullTimeout + time.Millisecond)
			is.Equal(c.Version(), int64(2))
			cancel()
			<-done
		})
	}
}

// partlyDeadPuller answers as the node "alive"; other nodes never answer.
type partlyDeadPuller struct{ state PeerState }

func (p partlyDeadPuller) Pull(ctx context.Context, address string, _ int64) (PeerState, error) {
	if address == "alive" {
		return p.state, nil
	}
	<-ctx.Done()
	return PeerState{}, ctx.Err()
}
