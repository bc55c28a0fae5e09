package boottime

import "time"

// TrueTime estimates true time from the time of day at the start of the process
// and the boot clock, so that later steps of the time of day change nothing.
type TrueTime struct {
	wall time.Time
	boot time.Duration
}

// NewTrueTime takes the time of day as true.
func NewTrueTime() *TrueTime { return &TrueTime{wall: time.Now().Round(0), boot: Now()} }

// At converts a recent time of this process to true time.
func (c *TrueTime) At(t time.Time) time.Time {
	return c.wall.Add(Now() - c.boot - time.Since(t))
}
