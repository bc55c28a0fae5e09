// Package explain follows one request through the logs of several nodes and names
// the likely cause of its end.
package explain

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
)

// Line is one log line.
type Line struct {
	// Source is the file that holds it.
	Source string
	Time   string
	Event  string
	Fields map[string]string
}

// Parse reads key=value lines, those of other forms left out.
func Parse(source string, r io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		fields := split(scanner.Text())
		if fields["msg"] != "" {
			lines = append(lines, Line{source, fields["time"], fields["msg"], fields})
		}
	}
	return lines, scanner.Err()
}

// maxLineBytes is the longest line that is read.
const maxLineBytes = 1 << 20

// split parses the pairs of a line. Quoted values are unquoted.
func split(text string) map[string]string {
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
			if plain, err := strconv.Unquote(quoted); err == nil {
				value = plain
			}
		} else {
			value, rest, _ = strings.Cut(rest, " ")
		}
		fields[key], text = value, rest
	}
	return fields
}

// Report is what the logs say of one request.
type Report struct {
	Request string
	Lines   []Line
	Cause   string
	// Missing says what the logs should hold and do not.
	Missing []string
}

// Request picks the lines of a request, in order of time, and judges them.
func Request(id string, lines []Line) Report {
	r := Report{Request: id}
	for _, l := range lines {
		if l.Fields["request"] == id {
			r.Lines = append(r.Lines, l)
		}
	}
	slices.SortStableFunc(r.Lines, func(a, b Line) int { return strings.Compare(a.Time, b.Time) })
	last := lastLine(r.Lines)
	if last == nil {
		r.Missing = append(r.Missing, "the last line of the request: its node was killed, the line was over the budget for served requests, or the file is not among those given")
		if len(r.Lines) == 0 {
			r.Cause = "no line names the request"
		} else {
			r.Cause = "unknown; the attempts above are all that is left"
		}
		return r
	}
	r.Cause = cause(last, r.Lines)
	if n := number(last, "unsent") + number(last, "refused"); n > attempts(r.Lines) {
		r.Missing = append(r.Missing, fmt.Sprintf("%d of %d lines of attempts: they were over the budget", n-attempts(r.Lines), n))
	}
	return r
}

func lastLine(lines []Line) *Line {
	for i := len(lines) - 1; i >= 0; i-- {
		if e := lines[i].Event; e == "request" || e == "request rejected" {
			return &lines[i]
		}
	}
	return nil
}

func attempts(lines []Line) int {
	n := 0
	for _, l := range lines {
		if l.Event == "attempt" {
			n++
		}
	}
	return n
}

func number(l *Line, field string) int {
	n, err := strconv.Atoi(l.Fields[field])
	if err != nil {
		return 0
	}
	return n
}

// causes explain the reasons of refusals.
var causes = map[string]string{
	"no_configuration":      "the node had no configuration yet: it had just started and reached neither the store nor a peer",
	"no_route":              "no route of the configuration in force matches the host and path",
	"bad_key":               "the configuration in force has no such key",
	"no_server":             "no backend server of the service was registered",
	"servers_full":          "the backend servers that were tried refused, and the retry budget or the number of attempts was used up",
	"unreachable":           "no connection to a backend server could be made",
	"answer_lost":           "the request was sent and its answer was lost; it may have run",
	"deadline":              "the time of the caller or of the route was over",
	"deadline_out_of_reach": "no backend server could have answered in time",
	"caller_gone":           "the caller hung up before the end",
	"stream_cut":            "the backend server broke the stream off and it could not go on elsewhere",
}

func cause(last *Line, lines []Line) string {
	if last.Event == "request rejected" {
		return "the message was rejected: " + last.Fields["cause"]
	}
	reason := last.Fields["reason"]
	text := causes[reason]
	switch {
	case text == "" && reason != "":
		text = "reason " + reason
	case text == "" && last.Fields["status"] == "200":
		text = "it was answered whole"
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

// Write prints a report.
func (r Report) Write(w io.Writer) error {
	for _, l := range r.Lines {
		if _, err := fmt.Fprintf(w, "%s  %-10s %s\n", l.Time, l.Source, describe(l)); err != nil {
			return err
		}
	}
	for _, m := range r.Missing {
		if _, err := fmt.Fprintf(w, "missing: %s\n", m); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "request %s: %s\n", r.Request, r.Cause)
	return err
}

func describe(l Line) string {
	var parts []string
	for key, value := range l.Fields {
		if key != "time" && key != "level" && key != "msg" && key != "request" && value != "" && value != "0" {
			parts = append(parts, key+"="+value)
		}
	}
	slices.Sort(parts)
	return l.Event + ": " + strings.Join(parts, " ")
}
