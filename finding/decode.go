package finding

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"unicode/utf8"
)

// Decode decodes the JSON document raw into v, which must be a pointer to a
// struct or slice, and returns nil or an *Error with every problem that was
// found: malformed JSON (with line and column), names given twice in an object,
// unknown fields, missing fields, values of a wrong type and numbers that the
// type can't hold. Values that are already in v serve as defaults.
//
// The checks run after that on what could be decoded, so that they are reported
// together with the rest. They don't run if the JSON is malformed. Findings of
// the checks at or below a place that has a finding already are dropped,
// because they follow from it.
func Decode(file string, raw []byte, v any, checks ...func(*List)) error {
	findings := &List{File: file}
	if !wellFormed(findings, raw) {
		return findings.Err()
	}
	walkTokens(findings, raw, v)
	validate(findings, raw, v)
	if err := json.Unmarshal(raw, v); err != nil && findings.Err() == nil {
		findings.Addf(root, "%v", err)
	}
	semantic := &List{File: file}
	for _, check := range checks {
		check(semantic)
	}
	findings.mergeUncovered(semantic)
	return findings.Err()
}

// root is the JSON path of the whole document.
const root = "$"

// wellFormed reports whether raw is one JSON value, and adds a finding if not.
func wellFormed(findings *List, raw []byte) bool {
	if i := invalidUTF8(raw); i >= 0 {
		malformed(findings, raw, i, "the file is not valid UTF-8")
		return false
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	var value json.RawMessage
	err := decoder.Decode(&value)
	if err == nil {
		rest := raw[decoder.InputOffset():]
		trimmed := bytes.TrimLeft(rest, " \t\r\n")
		if len(trimmed) == 0 {
			return true
		}
		malformed(findings, raw, len(raw)-len(trimmed), "there is more text after the end of the document")
		return false
	}
	var syntax *json.SyntaxError
	switch {
	case errors.As(err, &syntax):
		// The offset counts the bytes read, including the one at fault.
		malformed(findings, raw, int(syntax.Offset)-1, syntax.Error())
	case errors.Is(err, io.EOF):
		malformed(findings, raw, len(raw), "the file is empty")
	case errors.Is(err, io.ErrUnexpectedEOF):
		malformed(findings, raw, len(raw), "the file ends in the middle of a value")
	default:
		malformed(findings, raw, 0, err.Error())
	}
	return false
}

func malformed(findings *List, raw []byte, offset int, message string) {
	line, column := position(raw, offset)
	findings.Addf(root, "line %d, column %d: %s", line, column, message)
}

// position returns the line and the column, in characters, of a byte offset.
// Both count from 1.
func position(raw []byte, offset int) (line, column int) {
	offset = min(max(offset, 0), len(raw))
	before := raw[:offset]
	line = bytes.Count(before, []byte{'\n'}) + 1
	lineStart := bytes.LastIndexByte(before, '\n') + 1
	return line, utf8.RuneCount(before[lineStart:]) + 1
}

func invalidUTF8(raw []byte) int {
	for i := 0; i < len(raw); {
		r, size := utf8.DecodeRune(raw[i:])
		if r == utf8.RuneError && size == 1 {
			return i
		}
		i += size
	}
	return -1
}

// mergeUncovered adds the findings of other whose place has none so far.
func (l *List) mergeUncovered(other *List) {
	places := make(map[string]bool, len(l.items))
	for _, f := range l.items {
		places[f.Path] = true
	}
	for _, f := range other.items {
		if !covered(places, f.Path) {
			l.items = append(l.items, f)
		}
	}
}

// covered reports whether path or a value around it is among the places.
func covered(places map[string]bool, path string) bool {
	for i := range path {
		if (path[i] == '.' || path[i] == '[') && places[path[:i]] {
			return true
		}
	}
	return places[path]
}
