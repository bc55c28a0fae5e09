package quarantine

import (
	"slices"
	"time"
)

// maxCrashTimes bounds the memory of crashTimes.
const maxCrashTimes = 1024

// crashTimes holds the times of separate crashes, in order, whatever they are evidence against.
type crashTimes []time.Time

// add records that a request was lost in a crash.
func (c *crashTimes) add(at time.Time) {
	i, _ := slices.BinarySearchFunc(*c, at, time.Time.Compare)
	if i > 0 && at.Sub((*c)[i-1]) < crashSpacing || i < len(*c) && (*c)[i].Sub(at) < crashSpacing {
		return
	}
	*c = slices.Insert(*c, i, at)
	if len(*c) > maxCrashTimes {
		*c = slices.Delete(*c, 0, 1)
	}
}

// forgetBefore drops what is older than a time.
func (c *crashTimes) forgetBefore(oldest time.Time) {
	i, _ := slices.BinarySearchFunc(*c, oldest, time.Time.Compare)
	*c = slices.Delete(*c, 0, i)
}

// between returns the number of crashes from one time to another, both included.
func (c crashTimes) between(from, to time.Time) int {
	first, _ := slices.BinarySearchFunc(c, from, time.Time.Compare)
	end, found := slices.BinarySearchFunc(c, to, time.Time.Compare)
	if found {
		end++
	}
	return end - first
}
