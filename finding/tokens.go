package finding

import (
	"bytes"
	"encoding/json"
	"reflect"
	"strconv"
	"strings"
)

// walkTokens adds a finding for every name that an object holds twice and for
// every number that the Go type at its place can't hold. JSON Schema sees
// neither: the decoded object has lost the first value, and 1.0 or 1e400 are
// numbers like any other.
func walkTokens(findings *List, raw []byte, v any) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	w := tokenWalker{decoder: decoder, findings: findings}
	w.value(root, reflect.TypeOf(v))
}

type tokenWalker struct {
	decoder  *json.Decoder
	findings *List
}

// value reads one value. The type is nil where the Go type has no such place.
func (w *tokenWalker) value(path string, t reflect.Type) {
	for t != nil && t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	token, err := w.decoder.Token()
	if err != nil {
		return
	}
	switch token := token.(type) {
	case json.Delim:
		if token == '{' {
			w.object(path, t)
		} else {
			w.array(path, t)
		}
	case json.Number:
		w.number(path, token, t)
	}
}

func (w *tokenWalker) object(path string, t reflect.Type) {
	seen := make(map[string]bool)
	for w.decoder.More() {
		token, err := w.decoder.Token()
		if err != nil {
			return
		}
		name, _ := token.(string)
		place := fieldPath(path, name)
		if seen[name] {
			w.findings.Addf(place, "is given twice in this object")
		}
		seen[name] = true
		w.value(place, fieldType(t, name))
	}
	_, _ = w.decoder.Token()
}

func (w *tokenWalker) array(path string, t reflect.Type) {
	var element reflect.Type
	if t != nil && (t.Kind() == reflect.Slice || t.Kind() == reflect.Array) {
		element = t.Elem()
	}
	for i := 0; w.decoder.More(); i++ {
		w.value(indexPath(path, i), element)
	}
	_, _ = w.decoder.Token()
}

func (w *tokenWalker) number(path string, n json.Number, t reflect.Type) {
	if _, err := n.Float64(); err != nil {
		w.findings.Addf(path, "%s is too large a number", n)
		return
	}
	if t == nil {
		return
	}
	var err error
	switch kind := t.Kind(); {
	case kind >= reflect.Int && kind <= reflect.Int64:
		_, err = strconv.ParseInt(n.String(), 10, t.Bits())
	case kind >= reflect.Uint && kind <= reflect.Uint64:
		_, err = strconv.ParseUint(n.String(), 10, t.Bits())
	}
	if err != nil {
		w.findings.Addf(path, "%s is not a whole number of %d bits, written without fraction or exponent", n, t.Bits())
	}
}

// fieldType returns the type of the struct field or map value that a JSON name
// stands for, or nil.
func fieldType(t reflect.Type, name string) reflect.Type {
	if t == nil {
		return nil
	}
	if t.Kind() == reflect.Map {
		return t.Elem()
	}
	if t.Kind() != reflect.Struct {
		return nil
	}
	for _, field := range reflect.VisibleFields(t) {
		tag, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if tag == name && name != "" {
			return field.Type
		}
	}
	return nil
}
