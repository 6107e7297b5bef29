package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/prompt"
	"github.com/flamingowind/flamingowind/pkg/upstream"
)

var a, b = upstream.Life{ID: "a", Start: 1}, upstream.Life{ID: "b", Start: 1}

func TestChainLeavesOutTheRequestsOwnPart(t *testing.T) {
	links := Chain(journal())
	require.Len(t, links, 2)
	require.Equal(t, 5000, links[1].Tokens)
	other := *journal()
	other.Parts = []prompt.Part{{ID: "else", Tokens: 500}, {ID: "doc", Tokens: 4500}, {ID: "own", Tokens: 1}}
	require.NotEqual(t, links[1].Key, Chain(&other)[1].Key, "a part counts only behind the same parts")
}

func TestHoldingsTellTheLongestBeginning(t *testing.T) {
	h, now := NewHoldings(), time.Unix(0, 0)
	chain := Chain(journal())
	h.Use(a, chain, now)
	h.Use(b, chain[:1], now)
	require.Equal(t, map[upstream.Life]Kept{a: {Sent: 5000}, b: {Sent: 500}}, h.Kept(chain, now))
	require.Empty(t, h.Kept(chain, now.Add(holdingLife)))
}

func TestHoldingsTellEachUseOnce(t *testing.T) {
	h, now := NewHoldings(), time.Unix(0, 0)
	chain := Chain(journal())
	h.Use(a, chain, now)
	require.Len(t, h.Untold(), 2)
	h.Use(a, chain, now.Add(time.Second))
	require.Empty(t, h.Untold())
	h.Use(a, chain, now.Add(retellAfter))
	require.Len(t, h.Untold(), 2, "told again before others forget it")

	other := NewHoldings()
	other.Learn([]Holding{{Key: chain[1].Key, Life: a}}, now)
	require.Equal(t, 5000, other.Kept(chain, now)[a].Sent)
	require.Empty(t, other.Untold(), "what was learnt is not told on")
}

func TestHoldingsPrune(t *testing.T) {
	h, now := NewHoldings(), time.Unix(0, 0)
	h.Use(a, Chain(journal()), now)
	h.Prune(now.Add(holdingLife))
	require.Empty(t, h.links)
}
