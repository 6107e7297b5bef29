package examples_test

import (
	"context"
	"testing"

	"github.com/juju/errors"
	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"
	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/internal/devfleet"
	"github.com/flamingowind/flamingowind/internal/fleettest"
)

// explain is the code that the callers' page shows.
func explain(ctx context.Context, entry, key string) (string, error) {
	client := openai.NewClient(
		option.WithBaseURL("http://"+entry+"/v1"),
		option.WithAPIKey(key),
		option.WithMaxRetries(0),
		option.WithHeader("Flamingowind-Class", "urgent"),
		option.WithHeader("Flamingowind-Deadline", "10s"),
	)
	answer, err := client.Chat.Completions.New(ctx, openai.ChatCompletionNewParams{
		Model:     "tutor",
		MaxTokens: openai.Int(3),
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("Explain: pasar malam")},
	})
	var refusal *openai.Error
	if errors.As(err, &refusal) {
		verdict := refusal.Response.Header.Get("Flamingowind-Verdict")
		return "", errors.Errorf("%s (%s): %s", refusal.Code, verdict, refusal.Message)
	}
	if err != nil {
		return "", errors.Trace(err)
	}
	return answer.Choices[0].Message.Content, nil
}

func TestTheClientLibraryAsThePageShowsIt(t *testing.T) {
	ready := fleettest.Start(t, devfleet.DemoPlan("", "")).Current()
	text, err := explain(t.Context(), ready.Routers[0].Entry, ready.Organisations[0].Key)
	require.NoError(t, err)
	require.NotEmpty(t, text)
	_, err = explain(t.Context(), ready.Routers[0].Entry, "nobody's key")
	require.EqualError(t, err, "unauthorized (not-run): no organisation has this API key")
}
