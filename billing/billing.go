// Package billing is the client side of the platform's interface for usage
// reports.
package billing

import (
	"context"
	"errors"
)

// Errors that every implementation returns, possibly wrapped.
var (
	// ErrRefused means that billing answered and did not take the report.
	ErrRefused = errors.New("billing: report refused")
	// ErrUnavailable means that billing did not act on the report.
	ErrUnavailable = errors.New("billing: unavailable")
	// ErrAmbiguous means that the answer was lost: billing may or may not have
	// taken the report. The sender repeats it with the same report id.
	ErrAmbiguous = errors.New("billing: outcome unknown")
)

// Figures is an amount of usage of one workspace.
type Figures struct {
	Workspace    string `json:"workspace"`
	Calls        uint64 `json:"calls"`
	PromptTokens uint64 `json:"prompt_tokens"`
	OutputTokens uint64 `json:"output_tokens"`
}

// Correction is usage of an earlier window that arrived after that window was
// sealed. It is to be added to what was reported for that window.
type Correction struct {
	// Window is the start of the earlier window in seconds since the Unix epoch.
	Window int64 `json:"window"`
	Figures
}

// Report is the usage of one shard of workspaces in one window. Reports with
// the same ID are equal.
type Report struct {
	ID string `json:"report_id"`
	// Shard is the hash range of workspaces, out of Shards.
	Shard  uint32 `json:"shard"`
	Shards uint32 `json:"shards"`
	// Window is the start of the window in seconds since the Unix epoch.
	Window        int64        `json:"window"`
	WindowSeconds int64        `json:"window_s"`
	Figures       []Figures    `json:"figures"`
	Corrections   []Correction `json:"corrections,omitempty"`
}

// Reporter sends usage reports.
type Reporter interface {
	// Report returns nil once billing has taken the report. Token is the
	// fencing token of the order that covers the report.
	Report(ctx context.Context, token uint64, report Report) error
}
