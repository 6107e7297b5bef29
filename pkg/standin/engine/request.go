package engine

import (
	"encoding/json"
	"math"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
)

// Answer lengths follow a Pareto distribution: many short answers, a few long ones.
const (
	answerLeast = 16.0
	answerShape = 1.2
)

// request is what the engine reads of a body in OpenAI's shape. The fields that
// begin with standin_ are for tests; a real engine ignores them.
type request struct {
	Model               string     `json:"model"`
	Prompt              textOrList `json:"prompt"`
	Messages            []message  `json:"messages"`
	Stream              bool       `json:"stream"`
	MaxTokens           int        `json:"max_tokens"`
	MaxCompletionTokens int        `json:"max_completion_tokens"`
	User                string     `json:"user"`
	Tokens              int        `json:"standin_tokens"`
	Marker              string     `json:"standin_marker"`
}

type message struct {
	Role    string     `json:"role"`
	Content textOrList `json:"content"`
}

// textOrList is a string, a list of strings, or a list of parts with a text.
type textOrList string

type part struct {
	Text string `json:"text"`
}

// UnmarshalJSON joins the texts of all forms.
func (t *textOrList) UnmarshalJSON(b []byte) error {
	var text string
	if json.Unmarshal(b, &text) == nil {
		*t = textOrList(text)
		return nil
	}
	var texts []string
	if json.Unmarshal(b, &texts) == nil {
		*t = textOrList(strings.Join(texts, "\n"))
		return nil
	}
	var parts []part
	if err := json.Unmarshal(b, &parts); err != nil {
		return errors.New("must be a text, a list of texts or a list of parts")
	}
	for _, p := range parts {
		*t += textOrList(p.Text)
	}
	return nil
}

// prompt is the whole text that the engine reads.
func (r *request) prompt() string {
	if len(r.Messages) == 0 {
		return string(r.Prompt)
	}
	var b strings.Builder
	for _, m := range r.Messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(string(m.Content))
		b.WriteString("\n")
	}
	return b.String()
}

// limit is the caller's bound on the answer, in tokens.
func (r *request) limit() int {
	limit := maxAnswer
	for _, n := range []int{r.MaxTokens, r.MaxCompletionTokens} {
		if n > 0 {
			limit = min(limit, n)
		}
	}
	return limit
}

// hidden is the answer's natural length in tokens, which no caller knows beforehand.
func (r *request) hidden(prompt string) int {
	if r.Tokens > 0 {
		return min(r.Tokens, maxAnswer)
	}
	uniform := float64(xxhash.Sum64String(prompt)>>11) / (1 << 53)
	return int(min(answerLeast/math.Pow(1-uniform, 1/answerShape), maxAnswer))
}

// contentOf returns the hash of a prompt that journals show.
func contentOf(prompt string) string {
	return strconv.FormatUint(xxhash.Sum64String(prompt), 16)
}
