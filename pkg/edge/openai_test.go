package edge

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"
)

const (
	plainAnswer = `{"id":"c","object":"chat.completion","model":"m","choices":[{"index":0,"message":{"role":"assistant",` +
		`"content":"hello"},"finish_reason":"stop"}],"usage":{"completion_tokens":5}}`
	streamedAnswer = "id: 0\ndata: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"hel\"}}]}\n\n" +
		"id: 1\ndata: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"lo\"}}]}\n\n" +
		"id: 2\ndata: {\"choices\":[],\"usage\":{\"completion_tokens\":2}}\n\n" +
		"data: [DONE]\n\n"
)

func client(f *fixture) openai.Client {
	return openai.NewClient(option.WithBaseURL(f.url+"/v1"), option.WithAPIKey(testKey))
}

func chat(model string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:    model,
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("say hello")},
	}
}

func TestOpenAIClientPlain(t *testing.T) {
	f := newFixture(t, http.HandlerFunc(engine), nil)
	c := client(f)
	answer, err := c.Chat.Completions.New(context.Background(), chat("m"))
	if err != nil {
		t.Fatal(err)
	}
	same(t, "content", "hello", answer.Choices[0].Message.Content)
	models, err := c.Models.List(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	same(t, "models", "m", models.Data[0].ID)
}

func TestOpenAIClientStreamed(t *testing.T) {
	f := newFixture(t, http.HandlerFunc(engine), nil)
	c := client(f)
	stream := c.Chat.Completions.NewStreaming(context.Background(), chat("m"))
	var text strings.Builder
	for stream.Next() {
		if choices := stream.Current().Choices; len(choices) > 0 {
			text.WriteString(choices[0].Delta.Content)
		}
	}
	if err := stream.Err(); err != nil {
		t.Fatal(err)
	}
	same(t, "content", "hello", text.String())
}

func TestOpenAIClientReadsRefusal(t *testing.T) {
	f := newFixture(t, http.HandlerFunc(engine), nil)
	c := client(f)
	_, err := c.Chat.Completions.New(context.Background(), chat("unknown"))
	refusal, ok := err.(*openai.Error)
	if !ok {
		t.Fatalf("not the client's error: %v", err)
	}
	same(t, "status", http.StatusNotFound, refusal.StatusCode)
	same(t, "code", "not_found", refusal.Code)
	same(t, "verdict", "not-run", refusal.Response.Header.Get("Flamingowind-Verdict"))
}
