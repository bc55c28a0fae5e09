package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// member is a name/value pair of a JSON object.
type member struct {
	name  string
	value any
}

// object is a JSON object whose members keep their original order.
type object []member

// decodeOrdered decodes one JSON value to an object, []any, string, json.Number,
// bool or nil. The decoder must use json.Number.
func decodeOrdered(decoder *json.Decoder) (any, error) {
	token, err := decoder.Token()
	if err != nil {
		return nil, err
	}
	switch token {
	case json.Delim('{'):
		fields := object{}
		for decoder.More() {
			name, err := decoder.Token()
			if err != nil {
				return nil, err
			}
			value, err := decodeOrdered(decoder)
			if err != nil {
				return nil, err
			}
			fields = append(fields, member{fmt.Sprint(name), value})
		}
		_, err := decoder.Token()
		return fields, err
	case json.Delim('['):
		entries := []any{}
		for decoder.More() {
			value, err := decodeOrdered(decoder)
			if err != nil {
				return nil, err
			}
			entries = append(entries, value)
		}
		_, err := decoder.Token()
		return entries, err
	}
	return token, nil
}

// printReport prints a JSON report: first its scalar values, one per line, then a
// table for every array of objects. The members of nested objects get dotted
// names.
func printReport(out io.Writer, raw []byte) error {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	value, err := decodeOrdered(decoder)
	if err != nil {
		return fmt.Errorf("the report is not JSON: %w", err)
	}
	fields, ok := value.(object)
	if !ok {
		fields = object{{"", value}}
	}
	var scalars object
	var lists []member
	for _, f := range flatten("", fields) {
		if entries, ok := f.value.([]any); ok && allObjects(entries) {
			lists = append(lists, f)
			continue
		}
		scalars = append(scalars, f)
	}
	if err := printScalars(out, scalars); err != nil {
		return err
	}
	for i, list := range lists {
		if i > 0 || len(scalars) > 0 {
			fmt.Fprintln(out)
		}
		if list.name != "" {
			fmt.Fprintf(out, "%s:\n", list.name)
		}
		if err := printList(out, list.value.([]any)); err != nil {
			return err
		}
	}
	return nil
}

// flatten replaces nested objects by their members, with names joined by dots.
func flatten(prefix string, fields object) object {
	var flat object
	for _, f := range fields {
		name := prefix + f.name
		if nested, ok := f.value.(object); ok && len(nested) > 0 {
			flat = append(flat, flatten(name+".", nested)...)
			continue
		}
		flat = append(flat, member{name, f.value})
	}
	return flat
}

// allObjects reports whether entries is not empty and contains only objects.
func allObjects(entries []any) bool {
	for _, entry := range entries {
		if _, ok := entry.(object); !ok {
			return false
		}
	}
	return len(entries) > 0
}

// printScalars prints one line with name and value for every member.
func printScalars(out io.Writer, fields object) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, f := range fields {
		fmt.Fprintf(w, "%s\t%s\n", f.name, formatCell(f.value))
	}
	return w.Flush()
}

// printList prints objects as table rows. The columns are the members of all
// objects, in the order of their first occurrence.
func printList(out io.Writer, entries []any) error {
	var columns []string
	position := make(map[string]int)
	rows := make([]object, len(entries))
	for i, entry := range entries {
		rows[i] = flatten("", entry.(object))
		for _, f := range rows[i] {
			if _, ok := position[f.name]; !ok {
				position[f.name] = len(columns)
				columns = append(columns, f.name)
			}
		}
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.ToUpper(strings.Join(columns, "\t")))
	for _, row := range rows {
		cells := make([]string, len(columns))
		for _, f := range row {
			cells[position[f.name]] = formatCell(f.value)
		}
		fmt.Fprintln(w, strings.Join(cells, "\t"))
	}
	return w.Flush()
}

// formatCell formats one value for a table cell.
func formatCell(value any) string {
	switch value := value.(type) {
	case nil:
		return "-"
	case []any:
		parts := make([]string, len(value))
		for i := range value {
			parts[i] = formatCell(value[i])
		}
		return "[" + strings.Join(parts, " ") + "]"
	case object:
		parts := make([]string, len(value))
		for i, f := range value {
			parts[i] = f.name + "=" + formatCell(f.value)
		}
		return "{" + strings.Join(parts, " ") + "}"
	}
	// Control characters could break the layout of the table or change the state
	// of the terminal.
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return '?'
		}
		return r
	}, fmt.Sprint(value))
}
