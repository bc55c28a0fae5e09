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
	"github.com/figweir/figweir/standin/memstore"
	"github.com/figweir/figweir/store"
)

// restoredCluster is a deployment whose operator withdraws a key that a copy of the store still has.
type restoredCluster struct {
	*cluster
	is       *is.I
	document *config.Document
	// base is the revision in the copy, accepted the one in which the key is withdrawn.
	base, accepted store.Revision
	copy           *memstore.Copy
	// inForceFrom is when no node may serve with an older revision than the accepted one: one
	// evidence window after it was accepted, see configsync.Accepted.
	inForceFrom time.Time
}

func runRestored(t *testing.T, run func(c *restoredCluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := &restoredCluster{cluster: newCluster(1), is: is.New(t), document: testDocument(3)}
		defer c.stop()
		c.deploy(6, 2, c.document)
		p := c.nodes["vm000"].process.Load()
		c.base = p.sync.Revision()
		c.copy = c.store.Copy()
		result, err := withdrawKey(p, c.document, c.base, 0, "operator")
		c.is.NoErr(err)
		c.is.Equal(result.Status, configsync.Accepted)
		c.accepted = result.Revision
		c.inForceFrom = time.Now().Add(p.members.EvidenceWindow())
		run(c)
	})
}

// expectInForce checks for a time that no running node has an older revision in force than the
// accepted one, except those that refuse requests.
func (c *restoredCluster) expectInForce(d time.Duration) {
	for range d / (50 * time.Millisecond) {
		time.Sleep(50 * time.Millisecond)
		if time.Now().Before(c.inForceFrom) {
			continue
		}
		for _, n := range c.nodes {
			p := n.process.Load()
			if p == nil {
				continue
			}
			if s, err := p.sync.Snapshot(); err == nil {
				c.is.True(s.Revision >= c.accepted) // the withdrawn key stays withdrawn
			}
		}
	}
}

// expectStored checks that the store has the withdrawal again.
func (c *restoredCluster) expectStored() {
	d, version, err := config.NewRepository(c.store).Load(context.Background())
	c.is.NoErr(err)
	c.is.True(version.Revision >= c.accepted)
	c.is.True(d.Workspaces[0].Keys[0].Withdrawn)
}

// TestAcceptedChangeSurvivesRestore guards against a change that was accepted and goes back with the
// store. The load: a restore to a copy without the change, and to an empty store.
func TestAcceptedChangeSurvivesRestore(t *testing.T) {
	for _, empty := range []bool{false, true} {
		runRestored(t, func(c *restoredCluster) {
			if empty {
				c.copy = nil
			}
			c.store.Restore(c.copy)
			c.expectInForce(5 * time.Second)
			c.expectStored()
			for name, n := range c.nodes {
				c.is.True(n.process.Load().sync.ServingState() != configsync.Refusing)
				_ = name
			}
		})
	}
}

// TestNodeStartedAfterRestoreServesAcceptedChange guards against a node that starts between the
// restore and the next write and serves by the copy. The load: a node that is restarted as the
// store is restored, twice in a row, while its messages are lost and delayed.
func TestNodeStartedAfterRestoreServesAcceptedChange(t *testing.T) {
	runRestored(t, func(c *restoredCluster) {
		c.setFaults(func() { c.messageLoss, c.maxDelay = 0.2, 100*time.Millisecond })
		for range 2 {
			c.nodes["vm005"].stop()
			c.store.Restore(c.copy)
			c.nodes["vm005"].start()
			c.expectInForce(5 * time.Second)
			c.expectStored()
		}
	})
}

// TestChangeOnCopyIsConflict guards against an operator's change that undoes an accepted one, since it
// was made from the copy. The load: a change on the revision of the copy right after the restore, and
// one on what the operator then reads.
func TestChangeOnCopyIsConflict(t *testing.T) {
	runRestored(t, func(c *restoredCluster) {
		c.store.Restore(c.copy)
		p := c.nodes["vm001"].process.Load()
		_, err := withdrawKey(p, c.document, c.base, 1, "second operator")
		var conflict *config.ConflictError
		c.is.True(errors.As(err, &conflict))
		c.expectStored()
		d, version, err := config.NewRepository(c.store).Load(context.Background())
		c.is.NoErr(err)
		result, err := withdrawKey(p, d, version.Revision, 1, "second operator")
		c.is.NoErr(err)
		c.is.Equal(result.Status, configsync.Accepted)
		c.is.True(result.Revision > c.accepted)
		c.expectInForce(2 * time.Second)
	})
}
