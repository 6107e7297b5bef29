package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/prompt"
	"github.com/flamingowind/flamingowind/pkg/upstream"
)

var lifeA, lifeB = upstream.Life{ID: "a", Start: 1}, upstream.Life{ID: "b", Start: 1}

func TestPrefixesLeaveOutTheRequestsOwnPart(t *testing.T) {
	prefixes := Prefixes(documentPrompt())
	require.Len(t, prefixes, 2)
	require.Equal(t, 5000, prefixes[1].Tokens)
	other := *documentPrompt()
	other.Parts = []prompt.Part{{ID: "else", Tokens: 500}, {ID: "doc", Tokens: 4500}, {ID: "own", Tokens: 1}}
	require.NotEqual(t, prefixes[1].Key, Prefixes(&other)[1].Key, "a part counts only after the same parts")
}

func TestKVIndexFindsTheLongestPrefix(t *testing.T) {
	index, now := NewKVIndex(), time.Unix(0, 0)
	prefixes := Prefixes(documentPrompt())
	index.RecordUse(lifeA, prefixes, now)
	index.RecordUse(lifeB, prefixes[:1], now)
	require.Equal(t, map[upstream.Life]CachedTokens{lifeA: {Sent: 5000}, lifeB: {Sent: 500}}, index.Lookup(prefixes, now))
	require.Empty(t, index.Lookup(prefixes, now.Add(prefixTTL)))
}

func TestKVIndexReportsEachUseOnce(t *testing.T) {
	index, now := NewKVIndex(), time.Unix(0, 0)
	prefixes := Prefixes(documentPrompt())
	index.RecordUse(lifeA, prefixes, now)
	require.Len(t, index.TakeUnreported(), 2)
	index.RecordUse(lifeA, prefixes, now.Add(time.Second))
	require.Empty(t, index.TakeUnreported())
	index.RecordUse(lifeA, prefixes, now.Add(reportInterval))
	require.Len(t, index.TakeUnreported(), 2, "reported again before other routers drop it")

	other := NewKVIndex()
	other.Merge([]CachedPrefix{{Key: prefixes[1].Key, Life: lifeA}}, now)
	require.Equal(t, 5000, other.Lookup(prefixes, now)[lifeA].Sent)
	require.Empty(t, other.TakeUnreported(), "reports of other routers are not passed on")
}

func TestKVIndexPrune(t *testing.T) {
	index, now := NewKVIndex(), time.Unix(0, 0)
	index.RecordUse(lifeA, Prefixes(documentPrompt()), now)
	index.Prune(now.Add(prefixTTL))
	require.Empty(t, index.byKey)
}
