package engine

import (
	"encoding/json"
	"strconv"
)

// usage counts tokens in OpenAI's shape.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// The whole answer in OpenAI's shape.
type (
	wholeAnswer struct {
		ID      string   `json:"id"`
		Object  string   `json:"object"`
		Created int64    `json:"created"`
		Model   string   `json:"model"`
		Choices []choice `json:"choices"`
		Usage   usage    `json:"usage"`
	}
	choice struct {
		Index        int            `json:"index"`
		Text         *string        `json:"text,omitempty"`
		Message      *answerMessage `json:"message,omitempty"`
		FinishReason string         `json:"finish_reason"`
	}
	answerMessage struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
)

// firstToken names the request, so that a caller recognises another one's answer.
func firstToken(marker, content string) string {
	if marker != "" {
		return marker + " "
	}
	return content + " "
}

// Text returns the text that the engine answers with: the request's marker (or the
// hash of its prompt when it has none), then the numbers of the tokens 1, 2, 3, ….
func Text(marker, content string, tokens int) string {
	text := []byte(firstToken(marker, content))
	for n := 1; n < tokens; n++ {
		text = strconv.AppendInt(text, int64(n), 10)
		text = append(text, ' ')
	}
	return string(text)
}

func (a *attempt) usage() usage {
	return usage{a.promptTokens, a.total, a.promptTokens + a.total}
}

func (a *attempt) finishReason() string {
	if a.limited {
		return "length"
	}
	return "stop"
}

// whole returns the body of an answer that isn't streamed.
func (a *attempt) whole() ([]byte, error) {
	if a.garbage {
		return []byte("\x00\xff not JSON {"), nil
	}
	text := Text(a.marker, a.content, a.total)
	c := choice{FinishReason: a.finishReason()}
	object := "text_completion"
	if a.chat {
		object = "chat.completion"
		c.Message = &answerMessage{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	return json.Marshal(wholeAnswer{
		ID: a.answerID(), Object: object, Created: a.created, Model: a.model,
		Choices: []choice{c}, Usage: a.usage(),
	})
}

func (a *attempt) answerID() string {
	if a.chat {
		return "chatcmpl-" + a.id
	}
	return "cmpl-" + a.id
}
