package admit

import (
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Slice is a part of the global share of a workspace, in engine-seconds per
// second, that a node may use until the lease ends.
type Slice struct {
	EngineSecondsPerSecond float64
	// For is the length of the lease. The borrower counts it from the time at
	// which it sent its request, the lender from the time at which it answered,
	// so that the borrower always stops first.
	For time.Duration
}

// Lender divides the global share of one workspace among the nodes that serve
// it. It runs on the home node of the workspace. The slices that are lent and
// not yet ended, and the floors of all nodes, never exceed the quota.
type Lender struct {
	mu    sync.Mutex
	quota float64
	lease time.Duration
	floor float64
	nodes int
	loans map[string]*loan
}

// loan is what one borrower may be using: the largest of the slices that were
// granted to it and have not ended, since the answer with a smaller one may be
// lost.
type loan struct {
	want   float64
	grants []grant
}

type grant struct {
	amount float64
	ends   time.Time
}

// reserved returns the largest slice that has not ended.
func (l *loan) reserved(now time.Time) float64 {
	most := 0.0
	for _, g := range l.grants {
		if now.Before(g.ends) {
			most = max(most, g.amount)
		}
	}
	return most
}

// add records a grant. Those that have ended, and smaller ones that end no
// later, don't matter any more.
func (l *loan) add(now time.Time, g grant) {
	l.grants = slices.DeleteFunc(l.grants, func(old grant) bool {
		return !now.Before(old.ends) || (old.amount <= g.amount && !old.ends.After(g.ends))
	})
	l.grants = append(l.grants, g)
}

// NewLender returns a lender of a quota in engine-seconds per second. Each of
// nodes nodes may use floor without a slice, even while it is cut off; what all
// floors take is never lent.
//
// A new home node doesn't know the slices of its predecessor. It waits for one
// lease, counted from started, before it lends.
func NewLender(started time.Time, quota float64, lease time.Duration, floor float64, nodes int) *Lender {
	l := &Lender{quota: quota, lease: lease, floor: floor, nodes: nodes, loans: make(map[string]*loan)}
	// The slices of a predecessor may add up to all that can be lent.
	l.loans[predecessor] = &loan{grants: []grant{{l.lendable(), started.Add(lease)}}}
	return l
}

// predecessor stands for the unknown borrowers of the previous home node. It is
// not a valid node name.
const predecessor = ""

func (l *Lender) lendable() float64 { return max(0, l.quota-l.floor*float64(l.nodes)) }

// SetQuota changes the quota. Slices that are lent stay until they end.
func (l *Lender) SetQuota(quota float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.quota = quota
}

// Lend gives a borrower a slice that replaces its former one. It gets what it
// wants if that is free, and otherwise a part in proportion to what all
// borrowers want. A slice of 0 is valid; it leaves the node its floor.
func (l *Lender) Lend(now time.Time, borrower string, want float64) Slice {
	l.mu.Lock()
	defer l.mu.Unlock()
	want = max(0, want)
	others, wanted := 0.0, want
	for name, other := range l.loans {
		if name == borrower {
			continue
		}
		reserved := other.reserved(now)
		if reserved == 0 && !other.recent(now) {
			delete(l.loans, name)
			continue
		}
		others += reserved
		wanted += other.want
	}
	lendable := l.lendable()
	amount := want
	if wanted > lendable {
		amount = lendable * want / wanted
	}
	amount = min(amount, max(0, lendable-others))
	own := l.loans[borrower]
	if own == nil {
		own = &loan{}
		l.loans[borrower] = own
	}
	own.want = want
	own.add(now, grant{amount, now.Add(l.lease)})
	return Slice{EngineSecondsPerSecond: amount, For: l.lease}
}

// recent reports whether the borrower has a slice, even one of 0, that has not
// ended. What it wants counts until then.
func (l *loan) recent(now time.Time) bool {
	return slices.ContainsFunc(l.grants, func(g grant) bool { return now.Before(g.ends) })
}

// Return ends the slices of a borrower early. Call it only if the borrower has
// said that it stopped using them.
func (l *Lender) Return(borrower string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.loans, borrower)
}

// Lent returns what borrowers may be using now.
func (l *Lender) Lent(now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	sum := 0.0
	for name, loan := range l.loans {
		if name != predecessor {
			sum += loan.reserved(now)
		}
	}
	return sum
}

// Borrower is a node's part of the global share of one workspace.
type Borrower struct {
	floor   float64
	limiter *rate.Limiter

	mu   sync.Mutex
	ends time.Time
	// demand is the work asked for since the last call of Want.
	demand float64
	since  time.Time
}

// engineSecondUnits is how many tokens of the limiter stand for one
// engine-second; the limiter counts whole tokens.
const engineSecondUnits = 1000

// burstSeconds is for how long a node may save up its slice.
const burstSeconds = 0.25

// NewBorrower returns a borrower that has only its floor, in engine-seconds per
// second.
func NewBorrower(now time.Time, floor float64) *Borrower {
	b := &Borrower{floor: floor, since: now, limiter: rate.NewLimiter(0, 0)}
	b.set(now, floor)
	return b
}

func (b *Borrower) set(now time.Time, amount float64) {
	b.limiter.SetLimitAt(now, rate.Limit(amount*engineSecondUnits))
	b.limiter.SetBurstAt(now, max(1, int(amount*engineSecondUnits*burstSeconds)))
}

// Grant puts a slice in force. sent is when the request for it was sent.
func (b *Borrower) Grant(now, sent time.Time, s Slice) {
	b.mu.Lock()
	defer b.mu.Unlock()
	ends := sent.Add(s.For)
	if !ends.After(now) || ends.Before(b.ends) {
		return
	}
	b.ends = ends
	b.set(now, b.floor+s.EngineSecondsPerSecond)
}

// Take uses engine-seconds of the share and reports whether there were enough.
// A request above the burst counts as the whole burst.
func (b *Borrower) Take(now time.Time, engineSeconds float64) bool {
	b.mu.Lock()
	b.demand += engineSeconds
	if !b.ends.IsZero() && !now.Before(b.ends) {
		b.ends = time.Time{}
		b.set(now, b.floor)
	}
	b.mu.Unlock()
	units := max(1, int(engineSeconds*engineSecondUnits))
	return b.limiter.AllowN(now, min(units, b.limiter.Burst()))
}

// Share returns the engine-seconds per second that the node may use now. It
// serves as the weight of the workspace in the node's Controller.
func (b *Borrower) Share(now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.ends.IsZero() && !now.Before(b.ends) {
		b.ends = time.Time{}
		b.set(now, b.floor)
	}
	return float64(b.limiter.Limit()) / engineSecondUnits
}

// Want returns the rate that was asked for since the last call, less the floor.
// The next request to the lender asks for it.
func (b *Borrower) Want(now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	elapsed := now.Sub(b.since).Seconds()
	if elapsed <= 0 {
		return 0
	}
	want := max(0, b.demand/elapsed-b.floor)
	b.demand, b.since = 0, now
	return want
}
