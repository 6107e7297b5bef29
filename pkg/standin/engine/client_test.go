package engine

import (
	"context"
	"net/http/httptest"
	"testing"

	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"
	"github.com/stretchr/testify/require"
)

// The unmodified client library of the users reads both forms of the answer.
func TestClientLibraryReadsAnswers(t *testing.T) {
	e := New(Options{Step: 1})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go e.Run(ctx)
	server := httptest.NewServer(e.Handler())
	defer server.Close()
	client := openai.NewClient(option.WithBaseURL(server.URL+"/v1"), option.WithAPIKey("k"), option.WithMaxRetries(0))
	params := openai.ChatCompletionNewParams{
		Model:     "m",
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hello")},
		MaxTokens: openai.Int(7),
	}
	want := Text("", contentOf("user: hello\n"), 7)

	whole, err := client.Chat.Completions.New(ctx, params)
	require.NoError(t, err)
	require.Equal(t, want, whole.Choices[0].Message.Content)

	stream := client.Chat.Completions.NewStreaming(ctx, params)
	var streamed openai.ChatCompletionAccumulator
	for stream.Next() {
		require.True(t, streamed.AddChunk(stream.Current()))
	}
	require.NoError(t, stream.Err())
	require.Equal(t, want, streamed.Choices[0].Message.Content)
	require.EqualValues(t, 7, streamed.Usage.CompletionTokens)
}
