package boottime

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPauseIsSeen guards against a suspension that is not seen, before the detector runs again and
// after, and against one that is seen for longer than it is asked for.
func TestPauseIsSeen(t *testing.T) {
	is := is.New(t)
	d := &PauseDetector{}
	now := int64(time.Hour)
	d.lastTick.Store(now)
	for range 10 {
		now += int64(2 * pauseTick)
		d.tick(now)
	}
	is.True(!d.pausedSince(now, time.Hour))
	now += int64(time.Second)
	is.True(d.pausedSince(now, time.Millisecond)) // nothing has ticked since the pause
	d.tick(now)
	is.True(d.pausedSince(now, time.Millisecond))
	now += int64(pauseTick)
	d.tick(now)
	is.True(d.pausedSince(now, pauseTick))
	is.True(!d.pausedSince(now, pauseTick-1))
}
