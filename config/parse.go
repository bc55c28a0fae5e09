package config

import (
	"bytes"
	"encoding/json"
	"slices"

	"github.com/figweir/figweir/finding"
)

// Parse decodes and checks a configuration document. All problems are reported
// together as a *finding.Error with file and JSON path.
func Parse(file string, raw []byte) (*Document, error) {
	var d Document
	err := finding.Decode(file, raw, &d, func(findings *finding.List) { Validate(&d, findings) })
	if err != nil {
		return nil, err
	}
	return &d, nil
}

// Format encodes a document as indented JSON in the form that Parse takes.
// Lists that are nil become empty ones, because Parse refuses null.
func Format(d *Document) ([]byte, error) {
	out := *d
	out.Pools = orEmpty(d.Pools)
	out.Services = orEmpty(d.Services)
	out.Workspaces = orEmpty(d.Workspaces)
	out.BackendServers = orEmpty(d.BackendServers)
	var b bytes.Buffer
	encoder := json.NewEncoder(&b)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(&out); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

func orEmpty[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return slices.Clip(list)
}
