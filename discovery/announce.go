package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/figweir/figweir/store"
)

// maxAnnounceDelay is the maximum delay before a node registers again after its lease is gone. A
// restored store has lost the leases of all nodes at once.
const maxAnnounceDelay = time.Second

// Announce registers this node in the store, keeps its lease alive until ctx ends
// and then removes the entry.
func (n *Nodes) Announce(ctx context.Context, st store.Store) {
	a := &announcer{nodes: n, store: st}
	for ctx.Err() == nil {
		a.renewOrRegister(ctx)
		lease := a.lease
		n.lease.Store(&lease)
		sleep(ctx, nodeRenewInterval)
	}
	a.remove(context.WithoutCancel(ctx))
}

// announcer keeps the entry of one node in the store. Only one goroutine uses it.
type announcer struct {
	nodes *Nodes
	store store.Store
	// lease is the lease of the entry; store.NoLease while there is none.
	lease store.LeaseID
}

// renewOrRegister renews the lease of the entry, or writes the entry again if the lease is gone.
func (a *announcer) renewOrRegister(ctx context.Context) {
	if a.lease != store.NoLease {
		err := a.store.Renew(ctx, a.lease)
		if !errors.Is(err, store.ErrNotFound) {
			return
		}
		a.nodes.log.Info("node lease lapsed", "era", uint64(a.lease.Era))
		a.lease = store.NoLease
		sleep(ctx, rand.N(maxAnnounceDelay))
	}
	if err := a.register(ctx); err != nil {
		a.nodes.log.Info("cannot write node entry", "cause", err.Error())
	}
}

// register writes the entry under a new lease. It replaces the entry of an earlier incarnation or
// of a copy of the store, which remains until its lease lapses. Usually there is none, so the entry is
// read only after a conflict, which saves a call of each node when all nodes start.
func (a *announcer) register(ctx context.Context) error {
	key := nodesPrefix + a.nodes.self.Name
	lease, err := a.store.Grant(ctx, nodeLease)
	if err != nil {
		return err
	}
	self := a.nodes.self
	self.Lease = &lease
	raw, err := json.Marshal(self)
	if err != nil {
		return err
	}
	_, err = a.store.Put(ctx, key, raw, 0, lease)
	if errors.Is(err, store.ErrConflict) {
		var old store.Entry
		old, err = a.store.Get(ctx, key)
		if err == nil || errors.Is(err, store.ErrNotFound) {
			_, err = a.store.Put(ctx, key, raw, old.Revision, lease)
		}
	}
	if err != nil {
		return err
	}
	a.lease = lease
	a.nodes.Registrations.Add(1)
	return nil
}

// remove deletes the entry, if it is still the one that this node has written. It doesn't end the
// lease by its number, which may be the lease of another process if the store was restored and this
// node doesn't know of it yet.
func (a *announcer) remove(ctx context.Context) {
	if a.lease == store.NoLease {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, nodeRenewInterval/2)
	defer cancel()
	key := nodesPrefix + a.nodes.self.Name
	entry, err := a.store.Get(ctx, key)
	if err == nil && entry.Lease == a.lease {
		err = a.store.Delete(ctx, key, entry.Revision)
	}
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		a.nodes.log.Info("cannot remove node entry, it expires with its lease", "cause", err.Error())
	}
}
