package authority

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/figweir/figweir/store"
)

// JournalOptions sets the times of a journal.
type JournalOptions struct {
	// ConnectionTimeout bounds how long a copy of an order can be on its way
	// after the process that sent it has given the connection up or has ended.
	ConnectionTimeout time.Duration
	// ListLag bounds how old the state is that the VM list shows.
	ListLag time.Duration
	// RepeatEvery is the time between two copies of an order whose answer is
	// ambiguous.
	RepeatEvery time.Duration
	// SweepEvery is the time between two rounds of closing intents.
	SweepEvery time.Duration
	// RefreshEvery is the greatest age at which a holder that sends nothing
	// takes its copy of the record as current.
	RefreshEvery time.Duration
	// StoreTimeout bounds each call to the store.
	StoreTimeout time.Duration
}

// DefaultJournalOptions returns the times of the design.
func DefaultJournalOptions() JournalOptions {
	return JournalOptions{
		ConnectionTimeout: 5 * time.Second,
		ListLag:           30 * time.Second,
		RepeatEvery:       500 * time.Millisecond,
		SweepEvery:        1 * time.Second,
		RefreshEvery:      10 * time.Second,
		StoreTimeout:      1 * time.Second,
	}
}

// fenceKind is the Order.Kind of fencing orders.
const fenceKind = "fence"

// Journal guards the orders of one duty. It is safe for concurrent use; orders
// to different targets don't wait for each other.
type Journal struct {
	duty    *Duty
	process Process
	clock   Clock
	started time.Time
	options JournalOptions
	vms     VMLister
	fence   FenceFunc
	writer  *recordWriter
	stats   *counters
	blocked *blockedLog

	mu sync.Mutex
	// record is the last known state, and epoch the one that this process
	// wrote in its term of the duty; 0 before that.
	record   *record
	observed time.Time // when record was read or written
	epoch    uint64
	term     uint64
	// active holds the names of the targets with an order in progress.
	active map[string]bool
	// pending are own intents that are not needed any more.
	pending []pendingClose
	absence absenceLog
}

// pendingClose is an own intent that is to be closed at or after notBefore.
type pendingClose struct {
	orderID   string
	notBefore time.Time
}

// NewJournal returns the journal of a duty. fence may be nil if no target
// checks fencing tokens.
func NewJournal(s store.Store, d *Duty, vms VMLister, fence FenceFunc, options JournalOptions) *Journal {
	j := &Journal{
		duty: d, process: d.lease.process, clock: d.lease.clock, options: options, vms: vms, fence: fence,
		stats: &counters{}, blocked: newBlockedLog(), active: make(map[string]bool), absence: make(absenceLog),
	}
	j.started = j.clock.Now()
	j.writer = newRecordWriter(s, journalPrefix+d.name, options.StoreTimeout, j.stats, j.observe)
	return j
}

// Do sends an order to a target under an open intent. The error is nil if the
// target took the order, a *RefusedError if it did not, an *UnknownError if
// that is not known, and a *NotHolderError, *BlockedError, *BusyError,
// *ReplacedError, *FenceError or the error of the store if the order was not
// sent. A *RefusedError can be that of the fencing order. An order with an
// ambiguous answer is repeated with the same token until its answer is
// definite, ctx ends or the process loses its authority.
func (j *Journal) Do(ctx context.Context, target Target, order Order, send Send) error {
	if err := validate(target, order); err != nil {
		return err
	}
	term, held := j.duty.Term()
	if !held {
		return j.notHolder()
	}
	if !j.reserve(target.Name) {
		return j.busy(target)
	}
	defer j.release(target.Name)
	intent, err := j.prepare(ctx, term, target, order)
	var lost *NotHolderError
	if errors.As(err, &lost) && j.duty.MayAct(term) {
		// An earlier holder whose clock stood still has taken the journal over
		// for a moment.
		intent, err = j.prepare(ctx, term, target, order)
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

// prepare opens the intent of an order as soon as the target may get it.
func (j *Journal) prepare(ctx context.Context, term uint64, target Target, order Order) (Intent, error) {
	if err := j.takeOver(ctx, term); err != nil {
		return Intent{}, err
	}
	if err := j.secure(ctx, term, target); err != nil {
		return Intent{}, err
	}
	return j.open(ctx, Intent{OrderID: uuid.NewString(), Target: target, Order: order, Writer: j.process})
}

// Claim returns nil when no order of another process can change the target any
// more while this process holds the duty, so that its state can be read and
// planned on. It fences a target that checks fencing tokens if that is needed.
// Its errors are those of Do.
func (j *Journal) Claim(ctx context.Context, target Target) error {
	term, held := j.duty.Term()
	if !held {
		return j.notHolder()
	}
	if !j.reserve(target.Name) {
		return j.busy(target)
	}
	defer j.release(target.Name)
	if err := j.takeOver(ctx, term); err != nil {
		return err
	}
	return j.secure(ctx, term, target)
}

// secure returns an error if open intents block the target. If it checks
// fencing tokens, it is sent a fencing order instead, and the intents of the
// fenced orders are closed. The last known record is good enough for that:
// after a take-over other processes can only close intents.
func (j *Journal) secure(ctx context.Context, term uint64, target Target) error {
	j.mu.Lock()
	last := j.record
	j.mu.Unlock()
	needed, err := j.admit(last, target)
	if err != nil || !needed {
		return err
	}
	fence, err := j.open(ctx, Intent{
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
	return j.closeFenced(ctx, fence)
}

// closeFenced closes the intent of a fencing order that the target took and
// those of all orders with a lower token.
func (j *Journal) closeFenced(ctx context.Context, fence Intent) error {
	var closed []Intent
	err := j.writer.commit(ctx, func(r *record) (bool, error) {
		if !j.ownsRecord(r) {
			return false, j.notHolder()
		}
		closed = r.remove(func(i Intent) bool {
			return i.Target.Name == fence.Target.Name && i.Number <= fence.Number
		})
		return len(closed) > 0, nil
	})
	if err != nil {
		j.closeLater(fence.OrderID, j.clock.Now())
		return err
	}
	j.countClosed(closedFenced, closed)
	return nil
}

// takeOver writes the journal with the next epoch, once in each term. From
// then on no earlier holder can open an intent, since its write carries an old
// revision.
func (j *Journal) takeOver(ctx context.Context, term uint64) error {
	if j.taken(term) {
		return nil
	}
	return j.writer.commit(ctx, func(r *record) (bool, error) {
		if j.ownsRecord(r) && j.taken(term) {
			return false, nil
		}
		// The record may have been read after a successor wrote it.
		if !j.duty.MayAct(term) {
			return false, j.notHolder()
		}
		r.Epoch++
		r.Holder = j.process
		j.mu.Lock()
		defer j.mu.Unlock()
		j.epoch, j.term = r.Epoch, term
		return true, nil
	})
}

// taken reports whether the last known record is the one that this process
// took over in the given term.
func (j *Journal) taken(term uint64) bool {
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

// open adds an intent. A target that needs a fencing order gets no other.
func (j *Journal) open(ctx context.Context, intent Intent) (Intent, error) {
	intent.OpenedUnixMillis = j.clock.Now().UnixMilli()
	var opened Intent
	var replaced []Intent
	err := j.writer.commit(ctx, func(r *record) (bool, error) {
		if own := r.find(intent.OrderID); own != nil {
			opened = *own
			return false, nil
		}
		if !j.ownsRecord(r) {
			return false, j.notHolder()
		}
		fence, err := j.admit(r, intent.Target)
		if err != nil {
			return false, err
		}
		if fence && !intent.Fence {
			return false, j.busy(intent.Target)
		}
		replaced = r.remove(func(i Intent) bool {
			return i.Target.Name == intent.Target.Name && i.Target.Generation < intent.Target.Generation
		})
		opened = r.add(intent)
		return true, nil
	})
	if err != nil {
		j.giveUpOpen(intent, err)
		return Intent{}, err
	}
	j.stats.opened.Add(1)
	j.countClosed(closedReplaced, replaced)
	return opened, nil
}

// admit decides whether the target may get an order and whether it must be
// fenced first.
func (j *Journal) admit(r *record, target Target) (fence bool, err error) {
	for _, i := range r.Intents {
		switch {
		case i.Target.Name != target.Name || i.Target.Generation < target.Generation:
		case i.Target.Generation > target.Generation:
			return false, &ReplacedError{Target: target, CurrentGeneration: i.Target.Generation}
		case target.ChecksTokens && j.fence != nil:
			fence = true
		case i.Writer.Incarnation == j.process.Incarnation:
			return false, j.busy(target)
		default:
			j.stats.refusedBlocked.Add(1)
			return false, &BlockedError{Duty: j.duty.name, Intent: i}
		}
	}
	return fence, nil
}

func (j *Journal) reserve(name string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.active[name] {
		return false
	}
	j.active[name] = true
	return true
}

func (j *Journal) release(name string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.active, name)
}

func (j *Journal) notHolder() error { return &NotHolderError{Duty: j.duty.name} }

func (j *Journal) busy(target Target) error {
	return &BusyError{Duty: j.duty.name, Target: target.Name}
}

// observe takes note of a state of the record.
func (j *Journal) observe(r *record) {
	now := j.clock.Now()
	j.mu.Lock()
	defer j.mu.Unlock()
	j.record, j.observed = r, now
	if j.ownsLocked(r) {
		j.blocked.update(now, j.foreign(r))
	} else {
		j.blocked.reset()
		clear(j.absence)
	}
}

// foreign returns the intents of other processes.
func (j *Journal) foreign(r *record) []Intent {
	var out []Intent
	for _, i := range r.Intents {
		if i.Writer.Incarnation != j.process.Incarnation {
			out = append(out, i)
		}
	}
	return out
}
