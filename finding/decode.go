package finding

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"unicode/utf8"
)

// Decode decodes the JSON document raw into v, which must be a pointer to a
// struct or slice. It returns nil, or an *Error with every problem that it found:
// malformed JSON (with line and column), duplicate names in an object, unknown
// fields, missing fields, values of a wrong type and numbers that don't fit the
// Go type. Values that v already holds are defaults.
//
// The checks run afterwards on the values that could be decoded, so that their
// findings are reported together with the others. They don't run if the JSON is
// malformed. A finding of a check is dropped if its value or an enclosing value
// already has a finding, because it is only a consequence of that one.
func Decode(file string, raw []byte, v any, checks ...func(*List)) error {
	findings := &List{File: file}
	if !checkSyntax(findings, raw) {
		return findings.Err()
	}
	checkTokens(findings, raw, v)
	checkSchema(findings, raw, v)
	if err := json.Unmarshal(raw, v); err != nil && findings.Err() == nil {
		findings.Addf(root, "%v", err)
	}
	checkFindings := &List{File: file}
	for _, check := range checks {
		check(checkFindings)
	}
	findings.addUncovered(checkFindings)
	return findings.Err()
}

// root is the JSON path of the document itself.
const root = "$"

// checkSyntax reports whether raw is exactly one JSON value in valid UTF-8, and
// adds a finding if not.
func checkSyntax(findings *List, raw []byte) bool {
	if i := invalidUTF8Offset(raw); i >= 0 {
		addSyntaxFinding(findings, raw, i, "the file is not valid UTF-8")
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
		addSyntaxFinding(findings, raw, len(raw)-len(trimmed), "there is more text after the end of the document")
		return false
	}
	var syntax *json.SyntaxError
	switch {
	case errors.As(err, &syntax):
		// Offset is the number of bytes read, including the invalid one.
		addSyntaxFinding(findings, raw, int(syntax.Offset)-1, syntax.Error())
	case errors.Is(err, io.EOF):
		addSyntaxFinding(findings, raw, len(raw), "the file is empty")
	case errors.Is(err, io.ErrUnexpectedEOF):
		addSyntaxFinding(findings, raw, len(raw), "the file ends in the middle of a value")
	default:
		addSyntaxFinding(findings, raw, 0, err.Error())
	}
	return false
}

// addSyntaxFinding adds a finding with the line and column of the byte offset.
func addSyntaxFinding(findings *List, raw []byte, offset int, message string) {
	line, column := lineAndColumn(raw, offset)
	findings.Addf(root, "line %d, column %d: %s", line, column, message)
}

// lineAndColumn returns the line and the column of a byte offset, both starting
// at 1. The column counts characters, not bytes.
func lineAndColumn(raw []byte, offset int) (line, column int) {
	offset = min(max(offset, 0), len(raw))
	before := raw[:offset]
	line = bytes.Count(before, []byte{'\n'}) + 1
	lineStart := bytes.LastIndexByte(before, '\n') + 1
	return line, utf8.RuneCount(before[lineStart:]) + 1
}

// invalidUTF8Offset returns the offset of the first invalid UTF-8 sequence, or
// -1 if there is none.
func invalidUTF8Offset(raw []byte) int {
	for i := 0; i < len(raw); {
		r, size := utf8.DecodeRune(raw[i:])
		if r == utf8.RuneError && size == 1 {
			return i
		}
		i += size
	}
	return -1
}

// addUncovered adds the findings of other for values that are not covered by a
// finding of l: neither the value itself nor an enclosing value has one.
func (l *List) addUncovered(other *List) {
	paths := make(map[string]bool, len(l.findings))
	for _, f := range l.findings {
		paths[f.Path] = true
	}
	for _, f := range other.findings {
		if !pathCovered(paths, f.Path) {
			l.findings = append(l.findings, f)
		}
	}
}

// pathCovered reports whether paths contains path or the path of an enclosing
// value.
func pathCovered(paths map[string]bool, path string) bool {
	for i := range path {
		if (path[i] == '.' || path[i] == '[') && paths[path[:i]] {
			return true
		}
	}
	return paths[path]
}
