package membudget

import "time"

// Candidate is an unfinished request, or a connection without one, that may be closed to make room.
type Candidate struct {
	// Group is the workspace that the request states, or the listener before its headers are read.
	Group string
	// ReservedBytes is what closing it gives back.
	ReservedBytes int64
	// ProgressBytes is what has arrived of it in the last second.
	ProgressBytes int64
	// Since is when the request began, or when the connection became idle.
	Since time.Time
}

// ChooseVictim returns the index of the candidate that is closed first, or -1 if closing none gives
// anything back. A group that holds more than an equal share of what all candidates hold is first, so
// that many requests of one workspace or listener don't displace those of others; within it the
// candidate with the least progress is first, and of those the oldest.
func ChooseVictim(candidates []Candidate) int {
	held := make(map[string]int64)
	total := int64(0)
	for i := range candidates {
		held[candidates[i].Group] += candidates[i].ReservedBytes
		total += candidates[i].ReservedBytes
	}
	if total == 0 {
		return -1
	}
	share := total / int64(len(held))
	best := -1
	for i := range candidates {
		c := &candidates[i]
		if c.ReservedBytes <= 0 || held[c.Group] < share {
			continue
		}
		if best < 0 || closesBefore(c, &candidates[best]) {
			best = i
		}
	}
	return best
}

// closesBefore reports whether a is closed before b.
func closesBefore(a, b *Candidate) bool {
	if a.ProgressBytes != b.ProgressBytes {
		return a.ProgressBytes < b.ProgressBytes
	}
	return a.Since.Before(b.Since)
}
