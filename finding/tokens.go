package finding

import (
	"bytes"
	"encoding/json"
	"reflect"
	"strconv"
	"strings"
)

// checkTokens adds a finding for every duplicate name in an object and for every
// number that doesn't fit the Go type of its field. JSON Schema validation can't
// detect either: a decoded object keeps only the last of two values, and 1.0 and
// 1e400 are ordinary numbers to it.
func checkTokens(findings *List, raw []byte, v any) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	c := tokenChecker{decoder: decoder, findings: findings}
	c.checkValue(root, reflect.TypeOf(v))
}

// tokenChecker reads the tokens of a document in order.
type tokenChecker struct {
	decoder  *json.Decoder
	findings *List
}

// checkValue reads and checks one value. t is the Go type that it is decoded
// into, or nil if the Go type has no field or element for it.
func (c *tokenChecker) checkValue(path string, t reflect.Type) {
	for t != nil && t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	token, err := c.decoder.Token()
	if err != nil {
		return
	}
	switch token := token.(type) {
	case json.Delim:
		if token == '{' {
			c.checkObject(path, t)
		} else {
			c.checkArray(path, t)
		}
	case json.Number:
		c.checkNumber(path, token, t)
	}
}

func (c *tokenChecker) checkObject(path string, t reflect.Type) {
	seen := make(map[string]bool)
	for c.decoder.More() {
		token, err := c.decoder.Token()
		if err != nil {
			return
		}
		name, _ := token.(string)
		valuePath := fieldPath(path, name)
		if seen[name] {
			c.findings.Addf(valuePath, "is given twice in this object")
		}
		seen[name] = true
		c.checkValue(valuePath, fieldType(t, name))
	}
	_, _ = c.decoder.Token()
}

func (c *tokenChecker) checkArray(path string, t reflect.Type) {
	var element reflect.Type
	if t != nil && (t.Kind() == reflect.Slice || t.Kind() == reflect.Array) {
		element = t.Elem()
	}
	for i := 0; c.decoder.More(); i++ {
		c.checkValue(indexPath(path, i), element)
	}
	_, _ = c.decoder.Token()
}

func (c *tokenChecker) checkNumber(path string, n json.Number, t reflect.Type) {
	if _, err := n.Float64(); err != nil {
		c.findings.Addf(path, "%s is too large a number", n)
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
		c.findings.Addf(path, "%s is not a whole number of %d bits, written without fraction or exponent", n, t.Bits())
	}
}

// fieldType returns the type of the struct field with this JSON name or of the
// map's values, or nil if there is none.
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
