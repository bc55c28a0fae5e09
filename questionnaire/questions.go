package questionnaire

import (
	"encoding/json"
	"slices"

	"github.com/invopop/jsonschema"

	"github.com/figweir/figweir/finding"
)

// JSONType is the JSON Schema type of an answer, for example "string" or "array".
type JSONType string

// Question is one question of the questionnaire.
type Question struct {
	// Name is the path of the answer, for example "model_pools[].servers".
	Name string `json:"name"`
	// Meaning describes what the answer specifies.
	Meaning string `json:"meaning"`
	// Unit is empty if the answer is not a quantity.
	Unit string   `json:"unit,omitempty"`
	Type JSONType `json:"type"`
	// Required is set if the answer can't be omitted.
	Required bool `json:"required"`
	// Default is the JSON value that is used if the answer is omitted.
	Default json.RawMessage `json:"default,omitempty"`
	Bounds  Bounds          `json:"bounds,omitzero"`
}

// Bounds holds the constraints on an answer. Unset fields impose no constraint.
type Bounds struct {
	Minimum          json.Number `json:"minimum,omitempty"`
	ExclusiveMinimum json.Number `json:"exclusive_minimum,omitempty"`
	Maximum          json.Number `json:"maximum,omitempty"`
	ExclusiveMaximum json.Number `json:"exclusive_maximum,omitempty"`
	MinEntries       *uint64     `json:"min_entries,omitempty"`
	MaxEntries       *uint64     `json:"max_entries,omitempty"`
	Pattern          string      `json:"pattern,omitempty"`
	OneOf            []string    `json:"one_of,omitempty"`
}

// Questions returns all questions in the order of the fields of Answers.
func Questions() []Question {
	return appendQuestions(nil, "", finding.Schema(&Answers{}))
}

// appendQuestions appends a question for every property of the object schema,
// followed by those of nested objects.
func appendQuestions(questions []Question, prefix string, object *jsonschema.Schema) []Question {
	for pair := object.Properties.Oldest(); pair != nil; pair = pair.Next() {
		name, schema := prefix+pair.Key, pair.Value
		questions = append(questions, newQuestion(name, schema, slices.Contains(object.Required, pair.Key)))
		switch {
		case schema.Type == "object":
			questions = appendQuestions(questions, name+".", schema)
		case schema.Items != nil && schema.Items.Type == "object":
			questions = appendQuestions(questions, name+"[].", schema.Items)
		}
	}
	return questions
}

// newQuestion converts the schema of one answer to a question. The bounds of
// list entries become bounds of the list's question.
func newQuestion(name string, s *jsonschema.Schema, required bool) Question {
	q := Question{
		Name: name, Meaning: s.Description, Type: JSONType(s.Type), Required: required,
		Bounds: Bounds{
			Minimum: s.Minimum, ExclusiveMinimum: s.ExclusiveMinimum,
			Maximum: s.Maximum, ExclusiveMaximum: s.ExclusiveMaximum,
			MinEntries: s.MinItems, MaxEntries: s.MaxItems, Pattern: s.Pattern,
		},
	}
	if unit, ok := s.Extras["unit"].(string); ok {
		q.Unit = unit
	}
	if s.Default != nil {
		q.Default, _ = json.Marshal(s.Default)
	}
	if s.Items != nil {
		if s.Items.Pattern != "" {
			q.Bounds.Pattern = s.Items.Pattern
		}
		for _, value := range s.Items.Enum {
			if text, ok := value.(string); ok {
				q.Bounds.OneOf = append(q.Bounds.OneOf, text)
			}
		}
	}
	return q
}
