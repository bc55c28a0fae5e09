package config

import (
	"bytes"
	"encoding/json"
	"slices"

	"github.com/figweir/figweir/finding"
)

// Parse decodes and validates a configuration document. It reports all problems
// in one *finding.Error, each with file and JSON path.
func Parse(file string, raw []byte) (*Document, error) {
	var d Document
	err := finding.Decode(file, raw, &d, func(findings *finding.List) { Validate(&d, findings) })
	if err != nil {
		return nil, err
	}
	return &d, nil
}

// Format encodes a valid document as indented JSON that Parse accepts. Nil slices are
// written as empty arrays, because Parse rejects null.
func Format(d *Document) ([]byte, error) {
	out := *d
	out.Pools = emptyIfNil(d.Pools)
	out.Services = emptyIfNil(d.Services)
	out.Workspaces = emptyIfNil(d.Workspaces)
	out.BackendServers = emptyIfNil(d.BackendServers)
	var b bytes.Buffer
	encoder := json.NewEncoder(&b)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(&out); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

func emptyIfNil[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return slices.Clip(list)
}
