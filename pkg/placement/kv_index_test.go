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
	prefixes := Chain(documentPrompt())
	require.Len(t, prefixes, 2)
	require.Equal(t, 5000, prefixes[1].Tokens)
	other := *documentPrompt()
	other.Parts = []prompt.Part{{ID: "else", Tokens: 500}, {ID: "doc", Tokens: 4500}, {ID: "own", Tokens: 1}}
	require.NotEqual(t, prefixes[1].Key, Chain(&other)[1].Key, "a part counts only after the same parts")
}

func TestKVIndexFindsTheLongestPrefix(t *testing.T) {
	h, now := NewHoldings(), time.Unix(0, 0)
	prefixes := Chain(documentPrompt())
	h.Use(lifeA, prefixes, now)
	h.Use(lifeB, prefixes[:1], now)
	require.Equal(t, map[upstream.Life]Kept{lifeA: {Sent: 5000}, lifeB: {Sent: 500}}, h.Kept(prefixes, now))
	require.Empty(t, h.Kept(prefixes, now.Add(prefixTTL)))
}

func TestKVIndexReportsEachUseOnce(t *testing.T) {
	h, now := NewHoldings(), time.Unix(0, 0)
	prefixes := Chain(documentPrompt())
	h.Use(lifeA, prefixes, now)
	require.Len(t, h.Untold(), 2)
	h.Use(lifeA, prefixes, now.Add(time.Second))
	require.Empty(t, h.Untold())
	h.Use(lifeA, prefixes, now.Add(reportInterval))
	require.Len(t, h.Untold(), 2, "reported again before other routers drop it")

	other := NewHoldings()
	other.Learn([]Holding{{Key: prefixes[1].Key, Life: lifeA}}, now)
	require.Equal(t, 5000, other.Kept(prefixes, now)[lifeA].Sent)
	require.Empty(t, other.Untold(), "reports of other routers are not passed on")
}

func TestKVIndexPrune(t *testing.T) {
	h, now := NewHoldings(), time.Unix(0, 0)
	h.Use(lifeA, Chain(documentPrompt()), now)
	h.Prune(now.Add(prefixTTL))
	require.Empty(t, h.byKey)
}
