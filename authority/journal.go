package authority

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/figweir/figweir/store"
)

// JournalOptions sets the intervals and timeouts of a journal.
type JournalOptions struct {
	// ConnectionTimeout limits how long a copy of an order can be in transit
	// after its sender has closed the connection or has ended.
	ConnectionTimeout time.Duration
	// VMListLag is the maximum age of the state that the VM list shows.
	VMListLag time.Duration
	// RetryInterval is the time between two copies of an order whose response
	// is ambiguous.
	RetryInterval time.Duration
	// SweepInterval is the time between two sweeps, which close intents.
	SweepInterval time.Duration
	// MaxRecordAge is the age after which an idle holder reads the record
	// again.
	MaxRecordAge time.Duration
	// StoreTimeout limits each call to the store.
	StoreTimeout time.Duration
}

// DefaultJournalOptions returns the intervals and timeouts given in the design.
func DefaultJournalOptions() JournalOptions {
	return JournalOptions{
		ConnectionTimeout: 5 * time.Second,
		VMListLag:         30 * time.Second,
		RetryInterval:     500 * time.Millisecond,
		SweepInterval:     1 * time.Second,
		MaxRecordAge:      10 * time.Second,
		StoreTimeout:      1 * time.Second,
	}
}

// fenceKind is the Order.Kind of fencing orders.
const fenceKind = "fence"

// Journal prevents conflicting orders of one duty. It is safe for concurrent
// use; orders to different targets don't wait for each other.
type Journal struct {
	duty     *Duty
	process  Process
	clock    Clock
	started  time.Time
	options  JournalOptions
	vmLister VMLister
	fence    FenceFunc
	writer   *recordWriter
	stats    *counters
	blocked  *blockedTracker

	mu sync.Mutex
	// record is the last known state. epoch is the one that this process wrote
	// when it took the journal over in the given term of the duty; 0 before
	// that.
	record     *record
	recordTime time.Time // when record was read or written
	epoch      uint64
	term       uint64
	// inProgress holds the names of the targets with an order in progress.
	inProgress map[string]bool
	// pending lists intents of this process that are no longer needed.
	pending  []pendingClose
	absences vmAbsences

	// fencedIn holds, by target, when it was last fenced.
	fencedIn map[string]fencing
	// restoredClosedIn is the era in which closeRestored has closed intents. Only Sweep uses it.
	restoredClosedIn store.Era
}

// pendingClose is an intent of this process to close at or after notBefore.
type pendingClose struct {
	orderID   string
	notBefore time.Time
}

// fencing is the term of the duty in which a generation of a target was fenced.
type fencing struct{ term, generation uint64 }

// NewJournal returns the journal of a duty. fence may be nil if no target
// checks fencing tokens.
func NewJournal(s store.Store, d *Duty, vms VMLister, fence FenceFunc, options JournalOptions) *Journal {
	j := &Journal{
		duty: d, process: d.lease.process, clock: d.lease.clock, options: options, vmLister: vms, fence: fence,
		stats: &counters{}, blocked: newBlockedTracker(), inProgress: make(map[string]bool), fencedIn: make(map[string]fencing), absences: make(vmAbsences),
	}
	j.started = j.clock.Now()
	j.writer = newRecordWriter(s, journalPrefix+d.name, options.StoreTimeout, j.stats, j.recordChanged)
	return j
}

// Do opens an intent and sends the order to the target. While the response is
// ambiguous, it sends the order again with the same token, until the response
// is definite, ctx ends or the process may no longer act.
//
// The error is nil if the target accepted the order, a *RefusedError if it did
// not, and an *UnknownError if that is unknown. It is a *NotHolderError,
// *BlockedError, *BusyError, *ReplacedError, *FenceError or the error of the
// store if the order was not sent. A *RefusedError may also refer to the
// fencing order.
func (j *Journal) Do(ctx context.Context, target Target, order Order, send Send) error {
	if err := validate(target, order); err != nil {
		return err
	}
	term, held := j.duty.Term()
	if !held {
		return j.notHolderError()
	}
	if !j.reserve(target.Name) {
		return j.busyError(target)
	}
	defer j.release(target.Name)
	intent, err := j.prepareIntent(ctx, term, target, order)
	var lost *NotHolderError
	if errors.As(err, &lost) && j.duty.MayAct(term) {
		// An earlier holder with a stopped clock has briefly taken the journal
		// over.
		intent, err = j.prepareIntent(ctx, term, target, order)
	}
	if err != nil {
		return err
	}
	repeated, err := j.deliver(ctx, term, intent, send)
	if err != nil {
		return err
	}
	j.closeDelivered(ctx, intent, repeated)
	return nil
}

// prepareIntent takes the journal over if necessary, makes sure that no other
// order can reach the target, and opens the intent.
func (j *Journal) prepareIntent(ctx context.Context, term uint64, target Target, order Order) (Intent, error) {
	if err := j.takeOver(ctx, term); err != nil {
		return Intent{}, err
	}
	if err := j.secureTarget(ctx, term, target); err != nil {
		return Intent{}, err
	}
	return j.openIntent(ctx, Intent{OrderID: uuid.NewString(), Target: target, Order: order, Writer: j.process})
}

// Claim returns nil when no order of another process can change the target as
// long as this process holds the duty, so that the target's state can be read
// and planned on. It sends a fencing order if necessary and if the target
// checks fencing tokens. Its errors are those of Do.
func (j *Journal) Claim(ctx context.Context, target Target) error {
	term, held := j.duty.Term()
	if !held {
		return j.notHolderError()
	}
	if !j.reserve(target.Name) {
		return j.busyError(target)
	}
	defer j.release(target.Name)
	if err := j.takeOver(ctx, term); err != nil {
		return err
	}
	return j.secureTarget(ctx, term, target)
}

// secureTarget returns an error if open intents block the target. If the target
// checks fencing tokens, it sends a fencing order instead and closes the
// intents of the fenced orders. The cached record is sufficient, because after
// a takeover other processes can only close intents.
func (j *Journal) secureTarget(ctx context.Context, term uint64, target Target) error {
	j.mu.Lock()
	lastRecord := j.record
	j.mu.Unlock()
	needed, err := j.checkIntents(lastRecord, target)
	if err != nil || !needed && !j.mayHaveLostIntents(term, target) {
		return err
	}
	fence, err := j.openIntent(ctx, Intent{
		OrderID: uuid.NewString(), Target: target, Order: Order{Kind: fenceKind}, Fence: true, Writer: j.process,
	})
	if err != nil {
		return err
	}
	_, err = j.deliver(ctx, term, fence, func(ctx context.Context, token uint64) error {
		j.stats.fences.Add(1)
		return j.fence(ctx, target, token)
	})
	var unknown *UnknownError
	if errors.As(err, &unknown) {
		return &FenceError{Target: target, Err: unknown.Err}
	}
	if err != nil {
		return err
	}
	j.mu.Lock()
	j.fencedIn[target.Name] = fencing{term, target.Generation}
	j.mu.Unlock()
	return j.closeFenced(ctx, fence)
}

// mayHaveLostIntents reports whether the target must be fenced although no intent is open: a store
// that was restored may have lost those of earlier holders. Once per term is enough.
func (j *Journal) mayHaveLostIntents(term uint64, target Target) bool {
	if !target.ChecksTokens || j.fence == nil || j.duty.lease.newestEra() == 0 {
		return false
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.fencedIn[target.Name] != fencing{term, target.Generation}
}

// closeFenced closes the intent of an accepted fencing order and those of all
// orders to the target with a lower token.
func (j *Journal) closeFenced(ctx context.Context, fence Intent) error {
	var closed []Intent
	err := j.writer.commit(ctx, func(r *record) (bool, error) {
		if !j.ownsRecord(r) {
			return false, j.notHolderError()
		}
		closed = r.remove(func(i Intent) bool {
			return i.Target.Name == fence.Target.Name && i.Number <= fence.Number
		})
		return len(closed) > 0, nil
	})
	if err != nil {
		j.scheduleClose(fence.OrderID, j.clock.Now())
		return err
	}
	j.countClosed(closedFenced, closed)
	return nil
}

// takeOver writes the journal with the next epoch, once per term. From then on
// no earlier holder can open an intent, because its compare-and-swap expects an
// outdated revision.
func (j *Journal) takeOver(ctx context.Context, term uint64) error {
	if j.hasTakenOver(term) {
		return nil
	}
	if wait := j.duty.lease.untilEraSettled(j.options.ConnectionTimeout); wait > 0 {
		return &RestoredError{Duty: j.duty.name, Wait: wait}
	}
	return j.writer.commit(ctx, func(r *record) (bool, error) {
		if j.ownsRecord(r) && j.hasTakenOver(term) {
			return false, nil
		}
		// The record may have been read after a successor wrote it.
		if !j.duty.MayAct(term) {
			return false, j.notHolderError()
		}
		r.Epoch = max(r.Epoch, j.duty.tokenFloor()) + 1
		r.Holder = j.process
		j.mu.Lock()
		defer j.mu.Unlock()
		j.epoch, j.term = r.Epoch, term
		return true, nil
	})
}

// hasTakenOver reports whether the last known record is the one that this
// process took over in the given term.
func (j *Journal) hasTakenOver(term uint64) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.term == term && j.record != nil && j.ownsLocked(j.record)
}

func (j *Journal) ownsRecord(r *record) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.ownsLocked(r)
}

func (j *Journal) ownsLocked(r *record) bool {
	return j.epoch != 0 && r.Epoch == j.epoch && r.Holder == j.process
}

// openIntent adds an intent to the record. If the target must be fenced first,
// only the intent of a fencing order is added.
func (j *Journal) openIntent(ctx context.Context, intent Intent) (Intent, error) {
	intent.OpenedUnixMillis = j.clock.Now().UnixMilli()
	var opened Intent
	var replaced []Intent
	err := j.writer.commit(ctx, func(r *record) (bool, error) {
		if own := r.find(intent.OrderID); own != nil {
			opened = *own
			return false, nil
		}
		if !j.ownsRecord(r) {
			return false, j.notHolderError()
		}
		fence, err := j.checkIntents(r, intent.Target)
		if err != nil {
			return false, err
		}
		if fence && !intent.Fence {
			return false, j.busyError(intent.Target)
		}
		replaced = r.remove(func(i Intent) bool {
			return i.Target.Name == intent.Target.Name && i.Target.Generation < intent.Target.Generation
		})
		opened = r.add(intent, j.duty.tokenFloor())
		return true, nil
	})
	if err != nil {
		j.closeAbandoned(intent, err)
		return Intent{}, err
	}
	j.stats.opened.Add(1)
	j.countClosed(closedReplaced, replaced)
	return opened, nil
}

// checkIntents returns an error if open intents block the target, and whether
// it must be fenced first.
func (j *Journal) checkIntents(r *record, target Target) (fence bool, err error) {
	for _, i := range r.Intents {
		switch {
		case i.Target.Name != target.Name || i.Target.Generation < target.Generation:
		case i.Target.Generation > target.Generation:
			return false, &ReplacedError{Target: target, CurrentGeneration: i.Target.Generation}
		case target.ChecksTokens && j.fence != nil:
			fence = true
		case i.Writer.Incarnation == j.process.Incarnation:
			return false, j.busyError(target)
		default:
			j.stats.refusedBlocked.Add(1)
			return false, &BlockedError{Duty: j.duty.name, Intent: i}
		}
	}
	return fence, nil
}

// reserve reports whether no other order to the target is in progress and marks
// one as in progress; release removes the mark.
func (j *Journal) reserve(name string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.inProgress[name] {
		return false
	}
	j.inProgress[name] = true
	return true
}

func (j *Journal) release(name string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.inProgress, name)
}

func (j *Journal) notHolderError() error { return &NotHolderError{Duty: j.duty.name} }

func (j *Journal) busyError(target Target) error {
	return &BusyError{Duty: j.duty.name, Target: target.Name}
}

// recordChanged stores a record that was read or written and updates the
// blocked targets.
func (j *Journal) recordChanged(r *record) {
	now := j.clock.Now()
	j.mu.Lock()
	defer j.mu.Unlock()
	j.record, j.recordTime = r, now
	if j.ownsLocked(r) {
		j.blocked.update(now, j.filterForeign(r))
	} else {
		j.blocked.reset()
		clear(j.absences)
	}
}

// filterForeign returns the intents of other processes.
func (j *Journal) filterForeign(r *record) []Intent {
	var out []Intent
	for _, i := range r.Intents {
		if i.Writer.Incarnation != j.process.Incarnation {
			out = append(out, i)
		}
	}
	return out
}
