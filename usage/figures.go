// Package usage counts the usage of each workspace. Every node keeps running
// totals and mirrors them to nodes in other failure domains. The totals of each
// time window are sealed in a record once and reported to billing.
package usage

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Figures is an amount of usage: numbers of calls and of tokens.
type Figures struct {
	Calls        uint64 `json:"calls"`
	PromptTokens uint64 `json:"prompt_tokens"`
	OutputTokens uint64 `json:"output_tokens"`
}

// Add returns the sum of f and g.
func (f Figures) Add(g Figures) Figures {
	return Figures{f.Calls + g.Calls, f.PromptTokens + g.PromptTokens, f.OutputTokens + g.OutputTokens}
}

// Max returns the greater value of each field. The fields of a running total
// grow independently, so Max merges two observations of the same total.
func (f Figures) Max(g Figures) Figures {
	return Figures{max(f.Calls, g.Calls), max(f.PromptTokens, g.PromptTokens), max(f.OutputTokens, g.OutputTokens)}
}

// ExcessOver returns how much each field of f exceeds that of g, or 0 where it
// doesn't.
func (f Figures) ExcessOver(g Figures) Figures {
	m := f.Max(g)
	return Figures{m.Calls - g.Calls, m.PromptTokens - g.PromptTokens, m.OutputTokens - g.OutputTokens}
}

// IsZero reports whether all fields are 0.
func (f Figures) IsZero() bool { return f == Figures{} }

// Total is the running total of one node incarnation for one workspace and
// window. Its fields never decrease.
type Total struct {
	// Incarnation identifies one run of a node's process.
	Incarnation string
	Workspace   string
	// Window is the start of the window in seconds since the Unix epoch.
	Window int64
	Figures
}

// WindowStart returns the start of the window that contains at, in seconds
// since the Unix epoch. length is the window length and must be a whole number
// of seconds.
func WindowStart(at time.Time, length time.Duration) int64 {
	seconds := int64(length / time.Second)
	return at.Unix() / seconds * seconds
}

// ShardOf returns the shard of a workspace, from 0 to shards-1. Workspaces are
// distributed over the shards by a hash of their names.
func ShardOf(workspace string, shards uint32) uint32 {
	return uint32((xxhash.Sum64String(workspace) >> 32) * uint64(shards) >> 32)
}
