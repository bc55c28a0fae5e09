package authority

import (
	"context"
	"time"

	"github.com/figweir/figweir/platform/store"
	"github.com/figweir/figweir/standin/memstore"
)

// The methods of store.Store pass the process's gates and faults on their way
// to the store that all processes share.

func (p *proc) Get(ctx context.Context, key string) (store.Entry, error) {
	fault, err := p.before(memstore.OpGet)
	if err != nil {
		return store.Entry{}, err
	}
	entry, err := p.w.store.Get(ctx, key)
	return entry, p.after(fault, err, store.ErrUnavailable)
}

func (p *proc) List(ctx context.Context, prefix string) ([]store.Entry, store.Revision, error) {
	fault, err := p.before(memstore.OpList)
	if err != nil {
		return nil, 0, err
	}
	entries, revision, err := p.w.store.List(ctx, prefix)
	return entries, revision, p.after(fault, err, store.ErrUnavailable)
}

func (p *proc) Put(ctx context.Context, key string, value []byte, expected store.Revision, lease store.LeaseID) (store.Revision, error) {
	fault, err := p.before(memstore.OpPut)
	if err != nil {
		return 0, err
	}
	if late := p.takeLateWrite(); late > 0 {
		// The write is on its way while its sender has given up.
		time.AfterFunc(late, func() { _, _ = p.w.store.Put(context.Background(), key, value, expected, lease) })
		return 0, p.after(fault, store.ErrAmbiguous, store.ErrAmbiguous)
	}
	revision, err := p.w.store.Put(ctx, key, value, expected, lease)
	return revision, p.after(fault, err, store.ErrAmbiguous)
}

func (p *proc) Delete(ctx context.Context, key string, expected store.Revision) error {
	fault, err := p.before(memstore.OpDelete)
	if err != nil {
		return err
	}
	return p.after(fault, p.w.store.Delete(ctx, key, expected), store.ErrAmbiguous)
}

func (p *proc) Watch(ctx context.Context, prefix string, after store.Revision, wait time.Duration) ([]store.Event, store.Revision, error) {
	return p.w.store.Watch(ctx, prefix, after, wait)
}

func (p *proc) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	fault, err := p.before(memstore.OpGrant)
	if err != nil {
		return 0, err
	}
	id, err := p.w.store.Grant(ctx, ttl)
	return id, p.after(fault, err, store.ErrAmbiguous)
}

func (p *proc) Renew(ctx context.Context, lease store.LeaseID) error {
	fault, err := p.before(memstore.OpRenew)
	if err != nil {
		return err
	}
	return p.after(fault, p.w.store.Renew(ctx, lease), store.ErrAmbiguous)
}

func (p *proc) Revoke(ctx context.Context, lease store.LeaseID) error {
	fault, err := p.before(memstore.OpRevoke)
	if err != nil {
		return err
	}
	return p.after(fault, p.w.store.Revoke(ctx, lease), store.ErrAmbiguous)
}
