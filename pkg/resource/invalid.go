package resource

import "strings"

// FieldError is one fault of one field.
type FieldError struct {
	Kind  Kind   `json:"kind"`
	Name  string `json:"name"`
	Field string `json:"field"`
	Text  string `json:"text"`
}

// String gives Kind/name: field: text.
func (e FieldError) String() string {
	return string(e.Kind) + "/" + e.Name + ": " + e.Field + ": " + e.Text
}

// Invalid is the error for resources with faults; it holds all of them.
type Invalid struct{ Fields []FieldError }

// Error gives one line a fault.
func (e *Invalid) Error() string {
	lines := make([]string, len(e.Fields))
	for i, f := range e.Fields {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
