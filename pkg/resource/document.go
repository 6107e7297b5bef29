package resource

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/juju/errors"
)

// Document is the JSON form of a resource: its fields beside "kind".
type Document struct{ Resource Resource }

// MarshalJSON writes kind first, then the resource's fields.
func (d Document) MarshalJSON() ([]byte, error) {
	if d.Resource == nil {
		return []byte("null"), nil
	}
	fields, err := json.Marshal(d.Resource)
	if err != nil {
		return nil, errors.Annotate(err, "encode resource")
	}
	kind, err := json.Marshal(d.Resource.ResourceKind())
	if err != nil {
		return nil, errors.Annotate(err, "encode kind")
	}
	out := append([]byte(`{"kind":`), kind...)
	out = append(out, ',')
	return append(out, fields[1:]...), nil
}

// UnmarshalJSON reads a resource by its kind. Unknown kinds and fields are *Invalid.
func (d *Document) UnmarshalJSON(b []byte) error {
	if string(b) == "null" {
		d.Resource = nil
		return nil
	}
	r, err := ParseJSON("", b)
	d.Resource = r
	return err
}

// ParseJSON reads a resource whose kind may be left out when fallback names it.
func ParseJSON(fallback Kind, b []byte) (Resource, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(b, &fields); err != nil {
		return nil, &Invalid{Fields: []FieldError{{Kind: fallback, Text: "must be a JSON object"}}}
	}
	kind := fallback
	if raw, ok := fields["kind"]; ok {
		if err := json.Unmarshal(raw, &kind); err != nil {
			return nil, &Invalid{Fields: []FieldError{{Field: "kind", Text: "must be a string"}}}
		}
	}
	delete(fields, "kind")
	rest, err := json.Marshal(fields)
	if err != nil {
		return nil, errors.Annotate(err, "resource")
	}
	return decodeFields(kind, rest)
}

func decodeFields(kind Kind, b []byte) (Resource, error) {
	r := New(kind)
	if r == nil {
		return nil, &Invalid{Fields: []FieldError{{Kind: kind, Field: "kind", Text: "must be one of " + KindNames()}}}
	}
	dec := json.NewDecoder(bytes.NewReader(b))
	dec.DisallowUnknownFields()
	if err := dec.Decode(r); err != nil {
		return nil, fieldFault(r, err)
	}
	return r, nil
}

func fieldFault(r Resource, err error) error {
	ref := RefOf(r)
	fault := FieldError{Kind: ref.Kind, Name: ref.Name, Text: strings.TrimPrefix(err.Error(), "json: ")}
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) {
		fault.Field, fault.Text = wrong.Field, "must be a "+wrong.Type.String()+", not a "+wrong.Value
	}
	if name, ok := strings.CutPrefix(fault.Text, "unknown field "); ok {
		fault.Field, fault.Text = strings.Trim(name, `"`), "unknown field"
	}
	return &Invalid{Fields: []FieldError{fault}}
}

// KindNames lists the kinds for messages.
func KindNames() string {
	names := make([]string, 0, len(Kinds()))
	for _, k := range Kinds() {
		names = append(names, string(k))
	}
	return strings.Join(names, ", ")
}

// ParseKind finds a kind by its name in any case, singular or plural ("pools").
func ParseKind(s string) (Kind, bool) {
	for _, k := range Kinds() {
		if strings.EqualFold(s, string(k)) || strings.EqualFold(s, string(k)+"s") {
			return k, true
		}
	}
	return "", false
}
