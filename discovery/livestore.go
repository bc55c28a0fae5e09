package discovery

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/figweir/figweir/boottime"
	"github.com/figweir/figweir/store"
)

const (
	// heartbeatShare is the part of the bound after which a heartbeat without an
	// answer means silence, and the time between two heartbeats. The rest of the
	// bound is for the list that follows.
	heartbeatShare = 0.5
	// slowFactor is how much longer than the last answer to a heartbeat took the
	// next may take, if that is more: a slow store is not silent.
	slowFactor = 2
)

// ErrSilent ends watches while the store leaves calls without an answer.
var ErrSilent = errors.New("the store is silent")

// LiveStore is a store whose watches end when it falls silent. A watch that waits
// looks the same whether nothing changes, or the store never got it. So each watch
// comes with a heartbeat, a lease renewal, which the store answers at once, and
// heartbeats go on while watches wait. All watches share them; one costs the store a
// tenth of another call.
type LiveStore struct {
	store.Store
	// lease is renewed by the heartbeats. A store that does not know it answers too.
	lease func() store.LeaseID
	bound time.Duration
	// sent asks for a heartbeat because a watch was sent.
	sent chan struct{}
	// now is the boot clock.
	now func() time.Duration
	// patience is how long the next heartbeat may take, at most the bound. Only Run
	// uses it.
	patience time.Duration
	// answered is the boot time of the last answer to a heartbeat, in nanoseconds;
	// 0 if there was none.
	answered atomic.Int64

	mu sync.Mutex
	// live ends when the store leaves a heartbeat without an answer.
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

// AnswerAge returns how long ago the store last answered a heartbeat; false if it
// never did.
func (l *LiveStore) AnswerAge() (time.Duration, bool) {
	at := l.answered.Load()
	return l.now() - time.Duration(at), at != 0
}

// Run sends heartbeats until ctx ends.
func (l *LiveStore) Run(ctx context.Context) {
	interval := time.Duration(heartbeatShare * float64(l.bound))
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
		l.heartbeat(ctx, interval)
	}
}

// heartbeat waits for the answer to one heartbeat, also when it is late. Refusals are answers:
// a watch that is refused ends by itself.
func (l *LiveStore) heartbeat(ctx context.Context, interval time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, l.bound)
	defer cancel()
	silence := time.AfterFunc(l.patience, l.fallSilent)
	defer silence.Stop()
	sent := l.now()
	err := l.Store.Renew(ctx, l.lease())
	if err == nil || errors.Is(err, store.ErrNotFound) {
		l.answered.Store(int64(l.now()))
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
