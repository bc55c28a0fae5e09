// Package logging creates the logger of a process, which writes each event as
// one line of key=value pairs.
package logging

import (
	"io"
	"log/slog"

	"github.com/go-logr/logr"
)

// New returns a logger that writes to w. If verbose is set, it also writes events
// of verbosity level 1, which are for debugging.
func New(w io.Writer, verbose bool) logr.Logger {
	level := slog.LevelInfo
	if verbose {
		level = slog.LevelDebug
	}
	return logr.FromSlogHandler(slog.NewTextHandler(w, &slog.HandlerOptions{Level: level}))
}

// Keys that several kinds of log event use.
const (
	RequestKey       = "request"
	AttemptKey       = "attempt"
	WorkspaceKey     = "workspace"
	BackendServerKey = "backend_server"
	FailureDomainKey = "failure_domain"
)
