package boottime

import "time"

// TrueTime estimates true time from the wall clock at the start of the process and the
// boot clock, so that later steps of the wall clock have no effect.
type TrueTime struct {
	startWall time.Time
	startBoot time.Duration
}

// NewTrueTime returns a TrueTime that assumes that the wall clock is correct now.
func NewTrueTime() *TrueTime { return &TrueTime{startWall: time.Now().Round(0), startBoot: Now()} }

// At converts a recent time, read in this process by time.Now, to true time.
func (c *TrueTime) At(t time.Time) time.Time {
	return c.startWall.Add(Now() - c.startBoot - time.Since(t))
}
