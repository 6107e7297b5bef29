package placement

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

func TestLoadTrackerCountsUntilTheEnd(t *testing.T) {
	tracker := NewLoadTracker()
	request := tracker.Begin(lifeA, Work{Prompt: documentPrompt(), PrefillTokens: 1000})
	require.Equal(t, Load{Running: 1, PrefillTokens: 1000, KVTokens: 6300}, tracker.Load(lifeA))
	tracker.SetOthers(map[upstream.Life]Load{lifeA: {Running: 2, PrefillTokens: 5}})
	require.Equal(t, Load{Running: 3, PrefillTokens: 1005, KVTokens: 6300}, tracker.Load(lifeA))
	request.MarkPrefilled()
	require.Equal(t, 5, tracker.Load(lifeA).PrefillTokens)
	request.End()
	request.End()
	require.Equal(t, Load{Running: 2, PrefillTokens: 5}, tracker.Load(lifeA))
	require.Empty(t, tracker.Own())
}
