package discovery

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/figweir/figweir/boottime"
	"github.com/figweir/figweir/store"
)

const (
	// beatShare is the part of the bound after which a beat without an answer means
	// silence, and the time between two beats. The rest of the bound is for the list
	// that follows.
	beatShare = 0.5
	// slowFactor is how much longer than the last answer to a beat took the next may
	// take, if that is more: a slow store is not silent.
	slowFactor = 2
)

// ErrSilent ends watches while the store leaves calls without an answer.
var ErrSilent = errors.New("the store is silent")

// LiveStore is a store whose watches end when it falls silent. A watch that waits
// looks the same whether nothing changes, or the store never got it. So each watch
// comes with a beat, a lease renewal, which the store answers at once, and beats go
// on while watches wait. All watches share the beats, which cost the store a tenth
// of another call.
type LiveStore struct {
	store.Store
	// lease is renewed by the beats. A store that does not know it answers too.
	lease func() store.LeaseID
	bound time.Duration
	// sent asks for a beat because a watch was sent.
	sent chan struct{}
	// now is the boot clock.
	now func() time.Duration
	// patience is how long the next beat may take, at most the bound. Only Run uses
	// it.
	patience time.Duration

	mu sync.Mutex
	// live ends when the store leaves a beat without an answer.
	live   context.Context
	silent context.CancelCauseFunc
}

// NewLiveStore returns a store whose silence ends watches early enough for a list to
// find within bound what they missed. Run has to be called.
func NewLiveStore(s store.Store, lease func() store.LeaseID, bound time.Duration) *LiveStore {
	l := &LiveStore{Store: s, lease: lease, bound: bound, now: boottime.Now, sent: make(chan struct{}, 1)}
	l.live, l.silent = context.WithCancelCause(context.Background())
	return l
}

// Watch implements store.Store. It fails when the store falls silent.
func (l *LiveStore) Watch(ctx context.Context, prefix string, after store.Revision, wait time.Duration) ([]store.Event, store.Revision, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	l.mu.Lock()
	live := l.live
	l.mu.Unlock()
	stop := context.AfterFunc(live, func() { cancel(ErrSilent) })
	defer stop()
	select {
	case l.sent <- struct{}{}:
	default:
	}
	return l.Store.Watch(ctx, prefix, after, wait)
}

// Run sends beats until ctx ends.
func (l *LiveStore) Run(ctx context.Context) {
	interval := time.Duration(beatShare * float64(l.bound))
	l.patience = interval
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.sent:
		case <-ticker.C:
		}
		l.beat(ctx, interval)
	}
}

// beat waits for the answer to one beat, also when it is late. Refusals are answers:
// a watch that is refused ends by itself.
func (l *LiveStore) beat(ctx context.Context, interval time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, l.bound)
	defer cancel()
	silence := time.AfterFunc(l.patience, l.fallSilent)
	defer silence.Stop()
	sent := l.now()
	err := l.Store.Renew(ctx, l.lease())
	if err == nil || errors.Is(err, store.ErrNotFound) {
		l.patience = min(l.bound, max(interval, slowFactor*(l.now()-sent)))
	}
}

// fallSilent ends all watches.
func (l *LiveStore) fallSilent() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent(ErrSilent)
	l.live, l.silent = context.WithCancelCause(context.Background())
}
