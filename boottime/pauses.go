package boottime

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// pauseTick is the interval at which PauseDetector shows that the process runs.
	pauseTick = 25 * time.Millisecond
	// minPause is the shortest time without a tick that counts as a pause.
	minPause = 500 * time.Millisecond
)

// PauseDetector recognizes that the process did not run for minPause or longer, because it or its machine
// was suspended or had no CPU. The clocks continue while only the process is suspended, so it is seen from
// missing ticks. It is safe for concurrent use.
type PauseDetector struct {
	// lastTick is the boot time of the last tick, pauseEnd that of the end of the last pause.
	lastTick, pauseEnd atomic.Int64
}

// NewPauseDetector returns a detector. Run must be called.
func NewPauseDetector() *PauseDetector {
	d := &PauseDetector{}
	d.lastTick.Store(int64(Now()))
	return d
}

// Run observes the process until ctx ends.
func (d *PauseDetector) Run(ctx context.Context) {
	ticker := time.NewTicker(pauseTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.tick(int64(Now()))
		}
	}
}

// tick records that the process runs.
func (d *PauseDetector) tick(now int64) {
	if now-d.lastTick.Load() >= int64(minPause) {
		d.pauseEnd.Store(now)
	}
	d.lastTick.Store(now)
}

// PausedSince reports whether a pause has ended since t, or has lasted until now.
func (d *PauseDetector) PausedSince(t time.Time) bool {
	return d.pausedSince(int64(Now()), time.Since(t))
}

// pausedSince reports whether a pause ended in the given time before now. A goroutine may run after a
// pause before Run does, which is seen from the age of the last tick.
func (d *PauseDetector) pausedSince(now int64, age time.Duration) bool {
	return now-d.lastTick.Load() >= int64(minPause) || d.pauseEnd.Load() != 0 && now-d.pauseEnd.Load() <= int64(age)
}
