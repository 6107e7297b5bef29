package engine

import (
	"encoding/json"
	"strconv"
)

// chunks writes the events of one attempt's stream. Event n < total is token n; then
// come the chunk with the usage and [DONE]. Each event follows from the attempt
// alone, so that a resumed stream repeats the same bytes without keeping them.
type chunks struct {
	attempt *attempt
	head    string // up to the choice's own fields
	first   string // token 0, quoted and without its end quote
}

func newChunks(a *attempt) chunks {
	object := "text_completion"
	if a.chat {
		object = "chat.completion.chunk"
	}
	head := `{"id":` + quote(a.answerID()) + `,"object":"` + object + `","created":` +
		strconv.FormatInt(a.created, 10) + `,"model":` + quote(a.model) + `,"choices":[`
	return chunks{attempt: a, head: head, first: quote(firstToken(a.marker, a.content))}
}

// quote returns s as a JSON string.
func quote(s string) string {
	b, err := json.Marshal(s)
	if err != nil {
		panic(err) // no string is refused
	}
	return string(b)
}

// count is the number of events of the whole stream.
func (c *chunks) count() int { return c.attempt.total + 2 }

// append adds event n with its frame to b.
func (c *chunks) append(b []byte, n int) []byte {
	b = append(b, "id: "...)
	b = strconv.AppendInt(b, int64(n), 10)
	b = append(b, "\ndata: "...)
	switch {
	case c.attempt.garbage && n == c.attempt.total/2:
		b = append(b, "{not JSON"...)
	case n < c.attempt.total:
		b = c.appendToken(b, n)
	case n == c.attempt.total:
		b = c.appendLast(b)
	default:
		b = append(b, "[DONE]"...)
	}
	return append(b, "\n\n"...)
}

func (c *chunks) appendToken(b []byte, n int) []byte {
	b = append(b, c.head...)
	b = append(b, `{"index":0,`...)
	if c.attempt.chat {
		b = append(b, `"delta":{`...)
		if n == 0 {
			b = append(b, `"role":"assistant",`...)
		}
		b = append(b, `"content":`...)
		b = c.appendText(b, n)
		b = append(b, '}')
	} else {
		b = append(b, `"text":`...)
		b = c.appendText(b, n)
	}
	return append(b, `,"finish_reason":null}]}`...)
}

func (c *chunks) appendText(b []byte, n int) []byte {
	if n == 0 {
		return append(b, c.first...)
	}
	b = append(b, '"')
	b = strconv.AppendInt(b, int64(n), 10)
	return append(b, ` "`...)
}

// appendLast adds the chunk with the reason of the end and the usage.
func (c *chunks) appendLast(b []byte) []byte {
	b = append(b, c.head...)
	if c.attempt.chat {
		b = append(b, `{"index":0,"delta":{},"finish_reason":"`...)
	} else {
		b = append(b, `{"index":0,"text":"","finish_reason":"`...)
	}
	b = append(b, c.attempt.finishReason()...)
	u := c.attempt.usage()
	b = append(b, `"}],"usage":{"prompt_tokens":`...)
	b = strconv.AppendInt(b, int64(u.PromptTokens), 10)
	b = append(b, `,"completion_tokens":`...)
	b = strconv.AppendInt(b, int64(u.CompletionTokens), 10)
	b = append(b, `,"total_tokens":`...)
	b = strconv.AppendInt(b, int64(u.TotalTokens), 10)
	return append(b, `}}`...)
}
