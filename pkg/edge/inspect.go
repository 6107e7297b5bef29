package edge

import (
	"encoding/json"

	"github.com/tidwall/gjson"

	"github.com/flamingowind/flamingowind/pkg/verdict"
)

// inspection is what the edge needs of a completion request.
type inspection struct {
	model  string
	stream bool
	prompt string // the prompt or the messages, as JSON
}

// Fields of a completion request.
const (
	fieldModel     = "model"
	fieldStream    = "stream"
	fieldPrompt    = "prompt"
	fieldMessages  = "messages"
	fieldMaxTokens = "max_tokens"
	fieldMaxAnswer = "max_completion_tokens"
)

// inspect checks body and reads the fields that matter. json.Valid goes first since its
// depth of nesting is bounded; the other reader isn't run on anything it refuses.
func inspect(body []byte) (inspection, *verdict.Error) {
	if !json.Valid(body) {
		return inspection{}, badRequest("the body is not valid JSON")
	}
	root := gjson.ParseBytes(body)
	if !root.IsObject() {
		return inspection{}, badRequest("the body is not a JSON object")
	}
	in := inspector{seen: make(map[string]bool)}
	root.ForEach(in.field)
	if in.err == nil && in.out.model == "" {
		in.err = badRequest("the body names no model")
	}
	return in.out, in.err
}

type inspector struct {
	out  inspection
	seen map[string]bool
	err  *verdict.Error
}

// field takes one field. A field that stands twice is refused: this router and the
// engine could each take another value for the true one.
func (in *inspector) field(key, value gjson.Result) bool {
	name := key.String()
	if !known(name) {
		return true
	}
	if in.seen[name] {
		in.err = badRequest("the field " + name + " stands more than once")
		return false
	}
	in.seen[name] = true
	in.err = in.take(name, value)
	return in.err == nil
}

func known(name string) bool {
	switch name {
	case fieldModel, fieldStream, fieldPrompt, fieldMessages, fieldMaxTokens, fieldMaxAnswer:
		return true
	}
	return false
}

func (in *inspector) take(name string, value gjson.Result) *verdict.Error {
	switch name {
	case fieldModel:
		if value.Type != gjson.String {
			return badRequest("model must be a string")
		}
		in.out.model = value.String()
	case fieldStream:
		if value.Type != gjson.True && value.Type != gjson.False && value.Type != gjson.Null {
			return badRequest("stream must be true or false")
		}
		in.out.stream = value.Bool()
	case fieldPrompt, fieldMessages:
		in.out.prompt = value.Raw
	case fieldMaxTokens, fieldMaxAnswer:
		return in.limit(name, value)
	}
	return nil
}

func (in *inspector) limit(name string, value gjson.Result) *verdict.Error {
	if value.Type == gjson.Null {
		return nil
	}
	if value.Type != gjson.Number || value.Num < 0 {
		return badRequest(name + " must be a number of tokens")
	}
	return nil
}
