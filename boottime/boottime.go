// Package boottime reads the boot clock, which continues while the machine is suspended.
// Leases and ages are measured with it: the monotonic clock of package time stops during
// a suspension.
package boottime

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine booted, including the time it was suspended.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every supported Linux kernel has this clock, and leases would be unsafe
		// without it.
		panic("boottime: CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// Clock is the boot clock for packages that use time.Time. Its times are the boot time
// added to the Unix epoch and can only be compared with each other.
type Clock struct{}

// Now returns the boot time as a time after the Unix epoch.
func (Clock) Now() time.Time { return time.Unix(0, int64(Now())) }

// Sleep calls the function Sleep. It implements the clock interfaces of other packages.
func (Clock) Sleep(ctx context.Context, d time.Duration) error { return Sleep(ctx, d) }

// Sleep waits for d or until ctx ends; in the latter case it returns the error of ctx. It
// uses the monotonic clock, which is accurate enough for delays.
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
