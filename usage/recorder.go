package usage

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// Defaults of RecorderOptions.
const (
	// DefaultBatchDelay is how long a mirror batch waits for further additions.
	DefaultBatchDelay = 5 * time.Millisecond
	// DefaultMirrorTimeout is the timeout of one mirror call. It is far above
	// the round-trip time between failure domains (1 ms) and below a delay that
	// callers notice.
	DefaultMirrorTimeout = 200 * time.Millisecond
	// DefaultBackoff is how long a mirror is not used after a failure.
	DefaultBackoff = 2 * time.Second
	// DefaultRecheckInterval is how often an idle recorder checks for lost
	// mirrors.
	DefaultRecheckInterval = time.Second
)

// requiredMirrors is the number of mirrors that must hold a total for it to
// count as replicated.
const requiredMirrors = 2

// RecorderOptions configures a Recorder. For zero durations, the defaults are
// used.
type RecorderOptions struct {
	// Window is the length of a usage window, a whole number of seconds.
	Window time.Duration
	// Ledger contains the node's totals. It must be the ledger that the node's
	// handler of mirror and collect calls uses.
	Ledger    *Ledger
	Mirrors   MirrorPicker
	Transport MirrorTransport

	// The next four fields are described at their defaults.
	BatchDelay      time.Duration
	MirrorTimeout   time.Duration
	Backoff         time.Duration
	RecheckInterval time.Duration
}

// Recorder counts the usage of one node and mirrors it. Add and Wait run on the
// request path and take no lock that is shared by all requests.
type Recorder struct {
	options       RecorderOptions
	currentWindow atomic.Pointer[windowTotals]
	// openBatch is the batch that new additions become part of.
	openBatch atomic.Pointer[batch]
	// changes is the head of the list of changes since the last batch.
	changes atomic.Pointer[change]
	// wake starts a batch.
	wake chan struct{}

	// mirrors contains the mirror states by peer ID. It is used by the Run
	// goroutine only.
	mirrors map[string]*mirrorState
	// replicatedVersion is the version up to which the own totals are
	// replicated.
	replicatedVersion uint64

	unmirrored counter
	batchCount atomic.Uint64
	sentTotals atomic.Uint64
}

// windowTotals contains the running totals of one window.
type windowTotals struct {
	window int64
	totals sync.Map // by workspace, values are *runningTotal
}

// runningTotal is the running total of one workspace in one window.
type runningTotal struct {
	workspace string
	window    int64

	calls, promptTokens, outputTokens atomic.Uint64
	// lastBatch is the number of the last batch that read the total. It is used
	// by the Run goroutine only.
	lastBatch uint64
}

// change is an element of the list of changed totals. Every addition appends
// its own element. If it relied on the element of a concurrent addition, that
// one might not be in the list yet when the batch reads it.
type change struct {
	total *runningTotal
	next  *change
}

// counter is an atomic Figures value.
type counter struct{ calls, promptTokens, outputTokens atomic.Uint64 }

func (c *counter) add(f Figures) {
	c.calls.Add(f.Calls)
	c.promptTokens.Add(f.PromptTokens)
	c.outputTokens.Add(f.OutputTokens)
}

func (c *counter) load() Figures {
	return Figures{c.calls.Load(), c.promptTokens.Load(), c.outputTokens.Load()}
}

// batch is the mirroring of all additions made before it was closed.
type batch struct {
	done chan struct{}
	// mirrorCount is the number of mirrors that hold the batch. It is valid
	// once done is closed.
	mirrorCount int
}

// NewRecorder returns a recorder. Wait blocks unless Run is running.
func NewRecorder(options RecorderOptions) *Recorder {
	setDefault(&options.BatchDelay, DefaultBatchDelay)
	setDefault(&options.MirrorTimeout, DefaultMirrorTimeout)
	setDefault(&options.Backoff, DefaultBackoff)
	setDefault(&options.RecheckInterval, DefaultRecheckInterval)
	r := &Recorder{options: options, wake: make(chan struct{}, 1), mirrors: make(map[string]*mirrorState)}
	r.openBatch.Store(newBatch())
	r.currentWindow.Store(&windowTotals{window: WindowStart(time.Now(), options.Window)})
	return r
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

func newBatch() *batch { return &batch{done: make(chan struct{})} }

// Ticket identifies an addition, for Wait.
type Ticket struct {
	batch   *batch
	figures Figures
}

// Add adds usage to the running total of a workspace in the current window. Usage
// counts for the window in which it is added.
func (r *Recorder) Add(workspace string, f Figures) Ticket {
	total := r.runningTotal(workspace)
	total.calls.Add(f.Calls)
	total.promptTokens.Add(f.PromptTokens)
	total.outputTokens.Add(f.OutputTokens)
	added := &change{total: total}
	for {
		added.next = r.changes.Load()
		if r.changes.CompareAndSwap(added.next, added) {
			break
		}
	}
	// The batch is loaded after the change was added to the list. A batch reads
	// the list after it is closed, so the batch that is open now includes this
	// addition.
	t := Ticket{batch: r.openBatch.Load(), figures: f}
	select {
	case r.wake <- struct{}{}:
	default:
	}
	return t
}

// Wait waits until the totals that contain the addition are mirrored, and
// returns the number of peers in other failure domains that hold them. If there
// are fewer than two, the addition is counted as unmirrored usage. If ctx ends
// first, Wait returns ctx's error and the addition stays counted.
func (r *Recorder) Wait(ctx context.Context, t Ticket) (mirrors int, err error) {
	select {
	case <-t.batch.done:
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	if t.batch.mirrorCount < requiredMirrors {
		r.unmirrored.add(t.figures)
	}
	return t.batch.mirrorCount, nil
}

// runningTotal returns the workspace's running total in the current window.
func (r *Recorder) runningTotal(workspace string) *runningTotal {
	current := r.currentWindow.Load()
	// If the clock is set back, usage is still added to the newer window.
	if window := WindowStart(time.Now(), r.options.Window); window > current.window {
		current = r.startWindow(current, window)
	}
	if total, ok := current.totals.Load(workspace); ok {
		return total.(*runningTotal)
	}
	total, _ := current.totals.LoadOrStore(workspace, &runningTotal{workspace: workspace, window: current.window})
	return total.(*runningTotal)
}

// startWindow makes window the current one, unless a concurrent call has started
// it or a newer one.
func (r *Recorder) startWindow(previous *windowTotals, window int64) *windowTotals {
	next := &windowTotals{window: window}
	for !r.currentWindow.CompareAndSwap(previous, next) {
		if previous = r.currentWindow.Load(); previous.window >= window {
			return previous
		}
	}
	return next
}

// RecorderStats contains the counters of a recorder.
type RecorderStats struct {
	// Unmirrored is the usage of all additions whose Wait returned fewer than
	// two mirrors. It never decreases.
	Unmirrored Figures
	// AtRisk is the part of this node's unsealed usage that fewer than two
	// mirrors hold at present.
	AtRisk Figures
	// Batches counts mirror batches, SentTotals the totals sent in them.
	Batches    uint64
	SentTotals uint64
}

// Stats returns the current counters.
func (r *Recorder) Stats() RecorderStats {
	return RecorderStats{
		Unmirrored: r.unmirrored.load(),
		AtRisk:     r.options.Ledger.Stats().AtRisk,
		Batches:    r.batchCount.Load(),
		SentTotals: r.sentTotals.Load(),
	}
}
