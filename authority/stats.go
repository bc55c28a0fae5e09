package authority

import (
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// closeReason is the rule by which an intent was closed.
type closeReason string

const (
	closedByWriter  closeReason = "writer"
	closedByRestart closeReason = "restart"
	closedVMGone    closeReason = "vm_gone"
	closedReplaced  closeReason = "replaced"
	closedFenced    closeReason = "fenced"
)

// counters are the counters of one journal since the process started.
type counters struct {
	opened, sends, ambiguous, unknown, notSent, fences, refusedBlocked      atomic.Int64
	journalReads, journalWrites, journalConflicts, journalReadBacks         atomic.Int64
	listReads                                                               atomic.Int64
	closedWriter, closedRestart, closedVMGone, closedReplaced, closedFenced atomic.Int64
}

// Stats are the counters of one journal since the process started, for expvar
// and the operators' report.
type Stats struct {
	// Opened intents, sent copies of orders, and ambiguous responses to them.
	// Unknown counts the orders whose outcome is unknown, NotSent those not sent
	// because the duty or the caller's context had ended, Fences the fencing
	// orders, and RefusedBlocked the checks that found the target blocked.
	Opened         int64 `json:"opened"`
	Sends          int64 `json:"sends"`
	Ambiguous      int64 `json:"ambiguous"`
	Unknown        int64 `json:"unknown"`
	NotSent        int64 `json:"not_sent"`
	Fences         int64 `json:"fences"`
	RefusedBlocked int64 `json:"refused_blocked"`
	// Calls to the store by this journal.
	JournalReads     int64 `json:"journal_reads"`
	JournalWrites    int64 `json:"journal_writes"`
	JournalConflicts int64 `json:"journal_conflicts"`
	JournalReadBacks int64 `json:"journal_read_backs"`
	ListReads        int64 `json:"vm_list_reads"`
	// Number of intents closed by each rule.
	ClosedByWriter  int64 `json:"closed_by_writer"`
	ClosedByRestart int64 `json:"closed_by_restart"`
	ClosedVMGone    int64 `json:"closed_vm_gone"`
	ClosedReplaced  int64 `json:"closed_replaced"`
	ClosedFenced    int64 `json:"closed_fenced"`
	// How often and how long targets were blocked, as observed by this process
	// while it held the duty.
	BlockedEnded         int64   `json:"blocked_ended"`
	BlockedMedianSeconds float64 `json:"blocked_median_s"`
	BlockedMaxSeconds    float64 `json:"blocked_max_s"`
}

// BlockedTarget is a target blocked by an open intent of another process.
type BlockedTarget struct {
	Duty   string `json:"duty"`
	Intent Intent `json:"intent"`
	// ForSeconds is how long this process has observed the target as blocked.
	ForSeconds float64 `json:"for_s"`
}

// Stats returns the counters of the journal.
func (j *Journal) Stats() Stats {
	c := j.stats
	out := Stats{
		Opened: c.opened.Load(), Sends: c.sends.Load(), Ambiguous: c.ambiguous.Load(), Unknown: c.unknown.Load(),
		NotSent: c.notSent.Load(), Fences: c.fences.Load(), RefusedBlocked: c.refusedBlocked.Load(),
		JournalReads: c.journalReads.Load(), JournalWrites: c.journalWrites.Load(),
		JournalConflicts: c.journalConflicts.Load(), JournalReadBacks: c.journalReadBacks.Load(), ListReads: c.listReads.Load(),
		ClosedByWriter: c.closedWriter.Load(), ClosedByRestart: c.closedRestart.Load(), ClosedVMGone: c.closedVMGone.Load(),
		ClosedReplaced: c.closedReplaced.Load(), ClosedFenced: c.closedFenced.Load(),
	}
	j.blocked.setStats(&out)
	return out
}

// Blocked returns the currently blocked targets, sorted by name. It is empty
// while the process does not hold the journal.
func (j *Journal) Blocked() []BlockedTarget {
	return j.blocked.report(j.duty.name, j.clock.Now())
}

func (j *Journal) countClosed(reason closeReason, intents []Intent) {
	n := int64(len(intents))
	switch reason {
	case closedByWriter:
		j.stats.closedWriter.Add(n)
	case closedByRestart:
		j.stats.closedRestart.Add(n)
	case closedVMGone:
		j.stats.closedVMGone.Add(n)
	case closedReplaced:
		j.stats.closedReplaced.Add(n)
	case closedFenced:
		j.stats.closedFenced.Add(n)
	}
}

// The histogram covers 1 ms to one day with two significant digits.
const (
	histogramMaxMillis = 24 * 60 * 60 * 1000
	histogramDigits    = 2
)

// blockedTracker measures how long targets are blocked.
type blockedTracker struct {
	mu        sync.Mutex
	open      map[string]blockedIntent // by order ID
	durations *hdrhistogram.Histogram  // ms
}

type blockedIntent struct {
	intent    Intent
	firstSeen time.Time
}

func newBlockedTracker() *blockedTracker {
	return &blockedTracker{
		open:      make(map[string]blockedIntent),
		durations: hdrhistogram.New(1, histogramMaxMillis, histogramDigits),
	}
}

// update records which intents of other processes are open now. Targets that
// check fencing tokens are never blocked.
func (b *blockedTracker) update(now time.Time, foreign []Intent) {
	b.mu.Lock()
	defer b.mu.Unlock()
	stillOpen := make(map[string]bool, len(foreign))
	for _, i := range foreign {
		if i.Target.ChecksTokens {
			continue
		}
		stillOpen[i.OrderID] = true
		if _, known := b.open[i.OrderID]; !known {
			b.open[i.OrderID] = blockedIntent{intent: i, firstSeen: now}
		}
	}
	for id, blocked := range b.open {
		if !stillOpen[id] {
			millis := min(now.Sub(blocked.firstSeen).Milliseconds(), histogramMaxMillis)
			// The value is within the range of the histogram, so there is no
			// error.
			_ = b.durations.RecordValue(max(millis, 1))
			delete(b.open, id)
		}
	}
}

// reset discards the open intents; the next holder observes when they are
// closed.
func (b *blockedTracker) reset() {
	b.mu.Lock()
	defer b.mu.Unlock()
	clear(b.open)
}

func (b *blockedTracker) report(duty string, now time.Time) []BlockedTarget {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]BlockedTarget, 0, len(b.open))
	for _, blocked := range b.open {
		out = append(out, BlockedTarget{Duty: duty, Intent: blocked.intent, ForSeconds: now.Sub(blocked.firstSeen).Seconds()})
	}
	sort.Slice(out, func(a, c int) bool { return out[a].Intent.Target.Name < out[c].Intent.Target.Name })
	return out
}

func (b *blockedTracker) setStats(s *Stats) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s.BlockedEnded = b.durations.TotalCount()
	s.BlockedMedianSeconds = float64(b.durations.ValueAtQuantile(50)) / 1000
	s.BlockedMaxSeconds = float64(b.durations.Max()) / 1000
}
