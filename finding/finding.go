// Package finding collects problems in settings and configuration files, each
// with its place, so that all of them can be reported together.
package finding

import (
	"fmt"
	"strings"
)

// Finding is one problem at one place.
type Finding struct {
	// File is the name of the file, or "" for a document that has none.
	File string `json:"file,omitempty"`
	// Path is the JSON path of the value, for example "$.listen.callers".
	Path string `json:"path"`
	// Message says what is wrong and what would be accepted.
	Message string `json:"message"`
}

// String formats the finding as "file: path: message".
func (f Finding) String() string {
	if f.File == "" {
		return f.Path + ": " + f.Message
	}
	return f.File + ": " + f.Path + ": " + f.Message
}

// List collects findings about one file. The zero value is ready to use. It is
// not safe for concurrent use.
type List struct {
	// File is set on every finding that is added.
	File  string
	items []Finding
}

// Addf adds a finding at path.
func (l *List) Addf(path, format string, args ...any) {
	l.items = append(l.items, Finding{File: l.File, Path: path, Message: fmt.Sprintf(format, args...)})
}

// All returns the findings in the order in which they were added.
func (l *List) All() []Finding { return l.items }

// Err returns nil if there are no findings, and an *Error with all of them
// otherwise.
func (l *List) Err() error {
	if len(l.items) == 0 {
		return nil
	}
	return &Error{Findings: l.items}
}

// Error is a set of findings as an error.
type Error struct {
	Findings []Finding
}

// Error lists every finding on a line of its own.
func (e *Error) Error() string {
	lines := make([]string, len(e.Findings))
	for i, f := range e.Findings {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
