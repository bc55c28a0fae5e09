// Package finding decodes JSON files such as settings and configurations and
// collects all problems in them, each with its JSON path, so that they can be
// reported together.
package finding

import (
	"fmt"
	"strings"
)

// Finding is one problem with one value of a file.
type Finding struct {
	// File is the name of the file, or "" if the document is not from a file.
	File string `json:"file,omitempty"`
	// Path is the JSON path of the value, for example "$.listen.callers".
	Path string `json:"path"`
	// Message describes the problem and, where possible, the accepted values.
	Message string `json:"message"`
}

// String formats the finding as "file: path: message", or "path: message" if
// there is no file.
func (f Finding) String() string {
	if f.File == "" {
		return f.Path + ": " + f.Message
	}
	return f.File + ": " + f.Path + ": " + f.Message
}

// List collects the findings of one file. The zero value is ready to use. It is
// not safe for concurrent use.
type List struct {
	// File is the file name that Addf sets in every finding.
	File     string
	findings []Finding
}

// Addf adds a finding for the value at path, with a message as in fmt.Sprintf.
func (l *List) Addf(path, format string, args ...any) {
	l.findings = append(l.findings, Finding{File: l.File, Path: path, Message: fmt.Sprintf(format, args...)})
}

// All returns the findings in the order in which they were added.
func (l *List) All() []Finding { return l.findings }

// Err returns an *Error with all findings, or nil if there are none.
func (l *List) Err() error {
	if len(l.findings) == 0 {
		return nil
	}
	return &Error{Findings: l.findings}
}

// Error is an error that consists of one or more findings.
type Error struct {
	Findings []Finding
}

// Error returns all findings, one per line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Findings))
	for i, f := range e.Findings {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
