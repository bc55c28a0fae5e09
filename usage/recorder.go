package usage

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// Defaults of RecorderOptions.
const (
	// DefaultBatchDelay is how long a mirror batch waits for more additions.
	DefaultBatchDelay = 5 * time.Millisecond
	// DefaultMirrorTimeout bounds one mirror call. It is far above the round
	// trip between failure domains (1 ms) and below what a caller notices.
	DefaultMirrorTimeout = 200 * time.Millisecond
	// DefaultBackoff is how long a mirror that failed is passed over while
	// another candidate exists.
	DefaultBackoff = 2 * time.Second
	// DefaultRecheck is how often an idle recorder looks for lost mirrors.
	DefaultRecheck = time.Second
)

// wantedMirrors is the number of mirrors that make usage safe.
const wantedMirrors = 2

// RecorderOptions configures a Recorder. Zero durations take the defaults.
type RecorderOptions struct {
	// Window is the length of a usage window, a whole number of seconds.
	Window time.Duration
	// Ledger keeps the node's totals; the node's handler of mirror and collect
	// calls uses the same one.
	Ledger    *Ledger
	Mirrors   MirrorPicker
	Transport MirrorTransport

	BatchDelay    time.Duration
	MirrorTimeout time.Duration
	Backoff       time.Duration
	Recheck       time.Duration
}

// Recorder counts usage on one node and mirrors it. Add and Wait are on the
// request path and take no lock that all requests share.
type Recorder struct {
	options RecorderOptions
	current atomic.Pointer[windowCells]
	// open is the batch that additions made now will be part of.
	open  atomic.Pointer[batch]
	dirty atomic.Pointer[change]
	kick  chan struct{}

	// peers is used by the mirroring goroutine only.
	peers map[string]*mirrorState
	// safeVersion is the version up to which two mirrors hold the own totals.
	safeVersion uint64

	unmirrored counter
	batches    atomic.Uint64
	sent       atomic.Uint64
}

type windowCells struct {
	window int64
	cells  sync.Map // workspace → *cell
}

// cell is the running total of one workspace in one window.
type cell struct {
	workspace string
	window    int64

	calls, prompt, output atomic.Uint64
	// batch is the last batch that read the cell; only the mirroring goroutine
	// uses it.
	batch uint64
}

// change is an entry of the list of changed cells. Each addition has its own: if
// one relied on the entry of another, that one might not be in the list yet when
// the batch reads it.
type change struct {
	cell *cell
	next *change
}

// counter is a Figures value that many goroutines add to.
type counter struct{ calls, prompt, output atomic.Uint64 }

func (c *counter) add(f Figures) {
	c.calls.Add(f.Calls)
	c.prompt.Add(f.PromptTokens)
	c.output.Add(f.OutputTokens)
}

func (c *counter) load() Figures {
	return Figures{c.calls.Load(), c.prompt.Load(), c.output.Load()}
}

// batch is the mirroring of everything added before it was closed.
type batch struct {
	done chan struct{}
	// mirrors is valid once done is closed.
	mirrors int
}

// NewRecorder returns a recorder. Run must be started for Wait to return.
func NewRecorder(options RecorderOptions) *Recorder {
	setDefault(&options.BatchDelay, DefaultBatchDelay)
	setDefault(&options.MirrorTimeout, DefaultMirrorTimeout)
	setDefault(&options.Backoff, DefaultBackoff)
	setDefault(&options.Recheck, DefaultRecheck)
	r := &Recorder{options: options, kick: make(chan struct{}, 1), peers: make(map[string]*mirrorState)}
	r.open.Store(newBatch())
	r.current.Store(&windowCells{window: WindowStart(time.Now(), options.Window)})
	return r
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

func newBatch() *batch { return &batch{done: make(chan struct{})} }

// Ticket stands for one addition, to wait for its mirroring.
type Ticket struct {
	batch   *batch
	figures Figures
}

// Add adds usage to the running total of the workspace in the current window.
// Usage belongs to the window in which it is added.
func (r *Recorder) Add(workspace string, f Figures) Ticket {
	c := r.cell(workspace)
	c.calls.Add(f.Calls)
	c.prompt.Add(f.PromptTokens)
	c.output.Add(f.OutputTokens)
	entry := &change{cell: c}
	for {
		entry.next = r.dirty.Load()
		if r.dirty.CompareAndSwap(entry.next, entry) {
			break
		}
	}
	// The batch is read after the change is in the list: the batch that is open
	// now is closed before it reads the list, so it contains this addition.
	t := Ticket{batch: r.open.Load(), figures: f}
	select {
	case r.kick <- struct{}{}:
	default:
	}
	return t
}

// Wait waits until the totals that contain the addition are mirrored, and
// returns how many peers in other failure domains hold them. Fewer than two
// are counted as unmirrored usage. It returns ctx's error if ctx ends first;
// the addition is then still counted.
func (r *Recorder) Wait(ctx context.Context, t Ticket) (mirrors int, err error) {
	select {
	case <-t.batch.done:
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	if t.batch.mirrors < wantedMirrors {
		r.unmirrored.add(t.figures)
	}
	return t.batch.mirrors, nil
}

func (r *Recorder) cell(workspace string) *cell {
	cells := r.current.Load()
	// A clock that goes back keeps adding to the newer window.
	if window := WindowStart(time.Now(), r.options.Window); window > cells.window {
		cells = r.roll(cells, window)
	}
	if c, ok := cells.cells.Load(workspace); ok {
		return c.(*cell)
	}
	c, _ := cells.cells.LoadOrStore(workspace, &cell{workspace: workspace, window: cells.window})
	return c.(*cell)
}

func (r *Recorder) roll(old *windowCells, window int64) *windowCells {
	fresh := &windowCells{window: window}
	for !r.current.CompareAndSwap(old, fresh) {
		if old = r.current.Load(); old.window >= window {
			return old
		}
	}
	return fresh
}

// RecorderStats are the counters of a recorder.
type RecorderStats struct {
	// Unmirrored is the usage of all waits that ended with fewer than two
	// mirrors. It only grows.
	Unmirrored Figures
	// AtRisk is the part of this node's unsealed usage that fewer than two
	// mirrors hold now.
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
		Batches:    r.batches.Load(),
		SentTotals: r.sent.Load(),
	}
}
