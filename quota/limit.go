package quota

import "time"

// Limit is the quota of one workspace. Its unit is the one in which amounts are counted.
type Limit struct {
	// PerSecond is greater than 0.
	PerSecond float64
	Burst     float64
}

// Options are the bound that all nodes together must keep: in any window they send at most
// (rate × window + burst) × (1 + Overage) + Tolerance for a workspace.
type Options struct {
	Window    time.Duration
	Overage   float64
	Tolerance float64
}

// minBurstTime is the time for which unused permits are kept even if the quota has no burst. The
// amount comes out of the slack. Without it, two requests at the same moment would exceed a quota
// without a burst.
const minBurstTime = 250 * time.Millisecond

// slack returns how much more than the quota may be sent in a window.
func (o *Options) slack(l Limit) float64 {
	return o.Overage*(l.PerSecond*o.Window.Seconds()+l.Burst) + o.Tolerance
}

// startTokens returns what a node may grant at once while another granter may do the same: a standby,
// a granter that replaces one that can't be reached, or a node that uses its share.
func (o *Options) startTokens(l Limit) float64 { return o.slack(l) / 8 }

// restartTokens returns what a new granter may grant at once that hears from all nodes, so that it is
// the only new one. All nodes may have restarted, and their callers come back at once.
func (o *Options) restartTokens(l Limit) float64 { return o.slack(l) / 2 }

// capacity returns the capacity of the bucket of a granter that hears from all nodes.
func (o *Options) capacity(l Limit) float64 {
	return max(l.Burst, min(o.slack(l)/8, l.PerSecond*minBurstTime.Seconds()))
}

// largest returns the largest amount that may be sent in a window.
func (o *Options) largest(l Limit) float64 {
	return l.PerSecond*o.Window.Seconds() + l.Burst + o.slack(l)/2
}

// windowSlots is the number of parts in which amounts leave a window sum.
const windowSlots = 16

// windowSum is the sum over the last window, rounded up by at most one slot.
type windowSum struct {
	slots [windowSlots + 1]float64
	last  int64
}

// advance clears the slots that have left the window.
func (w *windowSum) advance(now time.Time, window time.Duration) {
	slot := now.UnixNano() / int64(window/windowSlots)
	for w.last < slot {
		w.last = max(w.last+1, slot-windowSlots)
		w.slots[w.last%int64(len(w.slots))] = 0
	}
}

func (w *windowSum) add(now time.Time, window time.Duration, amount float64) {
	w.advance(now, window)
	w.slots[w.last%int64(len(w.slots))] += amount
}

func (w *windowSum) sum(now time.Time, window time.Duration) float64 {
	w.advance(now, window)
	total := 0.0
	for _, s := range w.slots {
		total += s
	}
	return total
}
