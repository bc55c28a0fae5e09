// Package explain collects the log lines of one request from the logs of several
// nodes and determines the likely cause of its result.
package explain

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
)

// Line is one parsed log line.
type Line struct {
	// File is the name of the log file.
	File string
	// Time is the timestamp as logged.
	Time string
	// Event is the message of the line, for example "attempt".
	Event string
	// Fields holds all key=value pairs, including the time and the message.
	Fields map[string]string
}

// Parse reads lines of key=value pairs and skips all other lines. It returns an
// error if r can't be read or has a line longer than maxLineBytes.
func Parse(file string, r io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		fields := parseFields(scanner.Text())
		if fields["msg"] != "" {
			lines = append(lines, Line{file, fields["time"], fields["msg"], fields})
		}
	}
	return lines, scanner.Err()
}

// maxLineBytes is the length of the longest line that Parse accepts.
const maxLineBytes = 1 << 20

// parseFields parses the key=value pairs of a line and unquotes quoted values.
func parseFields(text string) map[string]string {
	fields := make(map[string]string)
	for text != "" {
		key, rest, ok := strings.Cut(text, "=")
		if !ok {
			return fields
		}
		if i := strings.LastIndexByte(key, ' '); i >= 0 {
			key = key[i+1:]
		}
		value := rest
		if strings.HasPrefix(rest, `"`) {
			quoted, err := strconv.QuotedPrefix(rest)
			if err != nil {
				return fields
			}
			value, rest = quoted, strings.TrimPrefix(rest[len(quoted):], " ")
			if unquoted, err := strconv.Unquote(quoted); err == nil {
				value = unquoted
			}
		} else {
			value, rest, _ = strings.Cut(rest, " ")
		}
		fields[key], text = value, rest
	}
	return fields
}

// Report is the result of searching the logs for one request.
type Report struct {
	RequestID string
	// Lines are the log lines of the request, sorted by time.
	Lines []Line
	// Cause describes the likely cause of the request's result.
	Cause string
	// Missing describes the log lines that should exist but were not found.
	Missing []string
}

// NewReport returns the report on the request with the given id. Its lines are
// sorted by time.
func NewReport(id string, lines []Line) Report {
	r := Report{RequestID: id}
	for _, l := range lines {
		if l.Fields["request"] == id {
			r.Lines = append(r.Lines, l)
		}
	}
	slices.SortStableFunc(r.Lines, func(a, b Line) int { return strings.Compare(a.Time, b.Time) })
	last := findLastLine(r.Lines)
	if last == nil {
		r.Missing = append(r.Missing, "the last line of the request: its node was killed, the line exceeded the log limit for served requests, or its log file was not given")
		if len(r.Lines) == 0 {
			r.Cause = "no line names the request"
		} else {
			r.Cause = "unknown; only the lines above were found"
		}
		return r
	}
	r.Cause = likelyCause(last, r.Lines)
	if n := intField(last, "unsent") + intField(last, "refused"); n > countAttempts(r.Lines) {
		r.Missing = append(r.Missing, fmt.Sprintf("%d of %d attempt lines: they exceeded the log limit", n-countAttempts(r.Lines), n))
	}
	return r
}

// findLastLine returns the line that a node logs at the end of a request, or nil if
// there is none.
func findLastLine(lines []Line) *Line {
	for i := len(lines) - 1; i >= 0; i-- {
		if e := lines[i].Event; e == "request" || e == "request rejected" {
			return &lines[i]
		}
	}
	return nil
}

func countAttempts(lines []Line) int {
	n := 0
	for _, l := range lines {
		if l.Event == "attempt" {
			n++
		}
	}
	return n
}

// intField returns a numeric field, or 0 if it is missing or not a number.
func intField(l *Line, field string) int {
	n, err := strconv.Atoi(l.Fields[field])
	if err != nil {
		return 0
	}
	return n
}

// causeByReason describes the reasons that nodes log for failed requests.
var causeByReason = map[string]string{
	"no_configuration":      "the node had no configuration yet: it had just started and reached neither the store nor a peer",
	"no_route":              "no route of the configuration in force matches the host and path",
	"bad_key":               "the configuration in force has no such key",
	"no_server":             "no backend server of the service was registered",
	"servers_full":          "the backend servers that were tried refused, and the retry budget or the number of attempts was exhausted",
	"over_quota":            "the workspace had used up its quota (see /quotas and the lines \"quotas in force\")",
	"servers_rate_limited":  "all backend servers that could take the request had reached the rate limit that they state (see the lines \"rate limit\" and /limits)",
	"unreachable":           "no connection to a backend server could be made",
	"answer_lost":           "the request was sent but its response was lost; it may have run",
	"deadline":              "the caller timeout or the timeout of the route expired",
	"deadline_out_of_reach": "no backend server could have answered before the deadline",
	"prompt_quarantined":    "the prompt has parts that crash backend servers; figweir quarantine list names them, and their log lines say since when",
	"caller_gone":           "the caller disconnected before the response was complete",
	"stream_cut":            "the backend server ended the stream early and it could not be resumed on another one",
}

// likelyCause describes the result in the last line, with the cause that the first
// failed attempt logged.
func likelyCause(last *Line, lines []Line) string {
	if last.Event == "request rejected" {
		return "the message was rejected: " + last.Fields["cause"]
	}
	reason := last.Fields["reason"]
	text := causeByReason[reason]
	switch {
	case text == "" && reason != "":
		text = "reason " + reason
	case text == "" && last.Fields["status"] == "200":
		text = "the complete response was sent"
	case text == "":
		text = "the backend server answered with status " + last.Fields["status"]
	}
	for _, l := range lines {
		if l.Event == "attempt" && l.Fields["cause"] != "" {
			return fmt.Sprintf("%s (%s at %s: %s)", text, l.Fields["event"], l.Fields["backend_server"], l.Fields["cause"])
		}
	}
	return text
}

// Write writes the report as text. It returns the first error of w.
func (r Report) Write(w io.Writer) error {
	for _, l := range r.Lines {
		if _, err := fmt.Fprintf(w, "%s  %-10s %s\n", l.Time, l.File, formatLine(l)); err != nil {
			return err
		}
	}
	for _, m := range r.Missing {
		if _, err := fmt.Fprintf(w, "missing: %s\n", m); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "request %s: %s\n", r.RequestID, r.Cause)
	return err
}

// formatLine formats the event and the fields of a line, without empty and zero
// values.
func formatLine(l Line) string {
	var parts []string
	for key, value := range l.Fields {
		if key != "time" && key != "level" && key != "msg" && key != "request" && value != "" && value != "0" {
			parts = append(parts, key+"="+value)
		}
	}
	slices.Sort(parts)
	return l.Event + ": " + strings.Join(parts, " ")
}
