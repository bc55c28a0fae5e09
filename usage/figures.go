// Package usage counts what each workspace used: running totals on every node,
// mirrored to other failure domains, and windows that are sealed once and
// reported to billing.
package usage

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Figures is an amount of usage.
type Figures struct {
	Calls        uint64 `json:"calls"`
	PromptTokens uint64 `json:"prompt_tokens"`
	OutputTokens uint64 `json:"output_tokens"`
}

// Plus returns the sum of f and g.
func (f Figures) Plus(g Figures) Figures {
	return Figures{f.Calls + g.Calls, f.PromptTokens + g.PromptTokens, f.OutputTokens + g.OutputTokens}
}

// Max returns the greater value of each field. The fields of a running total
// grow independently, so this merges two observations of the same total.
func (f Figures) Max(g Figures) Figures {
	return Figures{max(f.Calls, g.Calls), max(f.PromptTokens, g.PromptTokens), max(f.OutputTokens, g.OutputTokens)}
}

// Beyond returns by how much each field of f exceeds that of g, at least 0.
func (f Figures) Beyond(g Figures) Figures {
	m := f.Max(g)
	return Figures{m.Calls - g.Calls, m.PromptTokens - g.PromptTokens, m.OutputTokens - g.OutputTokens}
}

// IsZero reports whether all fields are 0.
func (f Figures) IsZero() bool { return f == Figures{} }

// Total is the running total of one node incarnation for one workspace and
// window. It only grows.
type Total struct {
	// Incarnation identifies one run of one node's process.
	Incarnation string
	Workspace   string
	// Window is the start of the window in seconds since the Unix epoch.
	Window int64
	Figures
}

// WindowStart returns the start of the window of the given length that contains
// at, in seconds since the Unix epoch. Length is a whole number of seconds.
func WindowStart(at time.Time, length time.Duration) int64 {
	seconds := int64(length / time.Second)
	return at.Unix() / seconds * seconds
}

// ShardOf returns the shard of a workspace: the index of the hash range, out of
// shards equal ranges, that its name falls into.
func ShardOf(workspace string, shards uint32) uint32 {
	return uint32((xxhash.Sum64String(workspace) >> 32) * uint64(shards) >> 32)
}
