// Package boottime reads the clock that a suspended machine does not stop.
// What a lease or an age guards goes by this clock: the steady clock of package
// time stands still while the machine is suspended.
package boottime

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine was started, suspended time included.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The clock exists on every Linux that figweir runs on; without it no
		// lease could be guarded.
		panic("boottime: CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// Clock is a clock for packages that take time.Time. Its times are boot times
// after the Unix epoch and are compared with each other only.
type Clock struct{}

// Now returns the boot time.
func (Clock) Now() time.Time { return time.Unix(0, int64(Now())) }

// Sleep implements the clocks of other packages, see the function Sleep.
func (Clock) Sleep(ctx context.Context, d time.Duration) error { return Sleep(ctx, d) }

// Sleep waits for d or until ctx ends, and returns the error of ctx. The wait goes
// by the steady clock, which is good enough for pauses.
func Sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
