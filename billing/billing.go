// Package billing is the client of the platform's interface for usage reports.
package billing

import (
	"context"
	"errors"
)

// Errors returned by all implementations of Reporter, possibly wrapped.
var (
	// ErrRefused means that billing responded and rejected the report.
	ErrRefused = errors.New("billing: report refused")
	// ErrUnavailable means that billing has not processed the report and never
	// will, unless it is sent again.
	ErrUnavailable = errors.New("billing: unavailable")
	// ErrAmbiguous means that the response was lost: billing may or may not
	// have accepted the report. The sender repeats it with the same report ID.
	ErrAmbiguous = errors.New("billing: outcome unknown")
)

// Figures is the usage of one workspace: numbers of calls and of tokens.
type Figures struct {
	Workspace    string `json:"workspace"`
	Calls        uint64 `json:"calls"`
	PromptTokens uint64 `json:"prompt_tokens"`
	OutputTokens uint64 `json:"output_tokens"`
}

// Correction is usage of an earlier window that arrived after that window was
// sealed. It is added to the usage reported for that window.
type Correction struct {
	// Window is the start of the earlier window in seconds since the Unix epoch.
	Window int64 `json:"window"`
	Figures
}

// Report is the usage of one shard of workspaces in one window. Reports with
// the same ID are equal.
type Report struct {
	ID string `json:"report_id"`
	// Shard is the number of the shard of workspaces, from 0 to Shards-1.
	Shard  uint32 `json:"shard"`
	Shards uint32 `json:"shards"`
	// Window is the start of the window in seconds since the Unix epoch,
	// WindowSeconds its length.
	Window        int64        `json:"window"`
	WindowSeconds int64        `json:"window_s"`
	Figures       []Figures    `json:"figures"`
	Corrections   []Correction `json:"corrections,omitempty"`
}

// Reporter sends usage reports.
type Reporter interface {
	// Report returns nil once billing has accepted the report. An error that
	// wraps ErrAmbiguous means that billing may have accepted it; after all
	// other errors it has not. token is the fencing token of the order that
	// covers the report.
	Report(ctx context.Context, token uint64, report Report) error
}
