package finding

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/big"
	"reflect"
	"strconv"
	"strings"
	"sync"

	generator "github.com/invopop/jsonschema"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
)

// Schema returns the JSON Schema (draft 2020-12) of the type that v points to,
// as Decode applies it: unknown fields are not allowed, and every field without
// omitempty or omitzero is required.
func Schema(v any) *generator.Schema {
	reflector := generator.Reflector{Anonymous: true, DoNotReference: true, ExpandedStruct: true}
	return reflector.Reflect(v)
}

// compiledSchemas caches the compiled schema of each decoded type.
var compiledSchemas sync.Map

// compiledSchema returns the compiled schema of the type that v points to. It
// panics if the type has no valid schema, which is a programming error.
func compiledSchema(v any) *jsonschema.Schema {
	t := reflect.TypeOf(v)
	if s, ok := compiledSchemas.Load(t); ok {
		return s.(*jsonschema.Schema)
	}
	raw, err := json.Marshal(Schema(v))
	if err != nil {
		panic(fmt.Sprintf("finding: schema of %s: %v", t, err))
	}
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(raw))
	if err != nil {
		panic(fmt.Sprintf("finding: schema of %s: %v", t, err))
	}
	const name = "schema.json"
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource(name, document); err != nil {
		panic(fmt.Sprintf("finding: schema of %s: %v", t, err))
	}
	s, _ := compiledSchemas.LoadOrStore(t, compiler.MustCompile(name))
	return s.(*jsonschema.Schema)
}

// checkSchema adds a finding for every violation of the schema of v's type,
// except for values that already have one.
func checkSchema(findings *List, raw []byte, v any) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	var instance any
	if err := decoder.Decode(&instance); err != nil {
		findings.Addf(root, "%v", err)
		return
	}
	instance = numbersToFloats(instance)
	err := compiledSchema(v).Validate(instance)
	if err == nil {
		return
	}
	violations := &List{File: findings.File}
	var invalid *jsonschema.ValidationError
	if errors.As(err, &invalid) {
		addSchemaFindings(violations, instance, invalid)
	} else {
		violations.Addf(root, "%v", err)
	}
	findings.addUncovered(violations)
}

// numbersToFloats replaces every json.Number by its float64 value, because the
// validator would expand a number such as 1e-999999999 to all of its digits.
// Numbers that overflow a float64 become 0; checkTokens reports them.
func numbersToFloats(value any) any {
	switch value := value.(type) {
	case json.Number:
		f, err := value.Float64()
		if err != nil {
			return 0.0
		}
		return f
	case []any:
		for i := range value {
			value[i] = numbersToFloats(value[i])
		}
	case map[string]any:
		for name := range value {
			value[name] = numbersToFloats(value[name])
		}
	}
	return value
}

// addSchemaFindings adds a finding for every leaf of the tree of validation
// errors e. Unknown and missing fields are reported at their own path.
func addSchemaFindings(findings *List, instance any, e *jsonschema.ValidationError) {
	for _, cause := range e.Causes {
		addSchemaFindings(findings, instance, cause)
	}
	if len(e.Causes) > 0 {
		return
	}
	path := instancePath(instance, e.InstanceLocation)
	switch k := e.ErrorKind.(type) {
	case *kind.AdditionalProperties:
		for _, name := range k.Properties {
			findings.Addf(fieldPath(path, name), "is not a known field")
		}
	case *kind.Required:
		for _, name := range k.Missing {
			findings.Addf(fieldPath(path, name), "is missing")
		}
	default:
		findings.Addf(path, "%s", violationMessage(e))
	}
}

// violationMessage describes which constraint a value violates.
func violationMessage(e *jsonschema.ValidationError) string {
	switch k := e.ErrorKind.(type) {
	case *kind.Type:
		return fmt.Sprintf("is of type %s, must be of type %s", k.Got, strings.Join(k.Want, " or "))
	case *kind.Enum:
		allowed := make([]string, len(k.Want))
		for i, value := range k.Want {
			allowed[i] = fmt.Sprintf("%#v", value)
		}
		return "must be one of " + strings.Join(allowed, ", ")
	case *kind.Minimum:
		return "must be at least " + formatDecimal(k.Want)
	case *kind.Maximum:
		return "must be at most " + formatDecimal(k.Want)
	case *kind.ExclusiveMinimum:
		return "must be greater than " + formatDecimal(k.Want)
	case *kind.ExclusiveMaximum:
		return "must be less than " + formatDecimal(k.Want)
	case *kind.MinItems:
		return fmt.Sprintf("must have at least %d entries", k.Want)
	case *kind.MaxItems:
		return fmt.Sprintf("must have at most %d entries", k.Want)
	case *kind.Pattern:
		return fmt.Sprintf("%q must match %s", k.Got, k.Want)
	}
	return e.Error()
}

// formatDecimal formats a number without an exponent.
func formatDecimal(r *big.Rat) string {
	f, _ := r.Float64()
	return strconv.FormatFloat(f, 'f', -1, 64)
}

// instancePath converts the location of a value to a JSON path. It looks the
// location up in the instance to distinguish array indices from numeric field
// names.
func instancePath(instance any, location []string) string {
	path := root
	for _, token := range location {
		switch value := instance.(type) {
		case []any:
			i, err := strconv.Atoi(token)
			if err != nil || i < 0 || i >= len(value) {
				return path
			}
			path, instance = indexPath(path, i), value[i]
		case map[string]any:
			path, instance = fieldPath(path, token), value[token]
		}
	}
	return path
}
