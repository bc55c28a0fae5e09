// Package logging builds the logger of a process: one line of key=value pairs
// for each event.
package logging

import (
	"io"
	"log/slog"

	"github.com/go-logr/logr"
)

// New returns a logger that writes to w. With verbose set it also writes
// events of level 1, which are for finding faults.
func New(w io.Writer, verbose bool) logr.Logger {
	level := slog.LevelInfo
	if verbose {
		level = slog.LevelDebug
	}
	return logr.FromSlogHandler(slog.NewTextHandler(w, &slog.HandlerOptions{Level: level}))
}

// Field names that log events share.
const (
	Request       = "request"
	Attempt       = "attempt"
	Workspace     = "workspace"
	BackendServer = "backend_server"
	FailureDomain = "failure_domain"
)
