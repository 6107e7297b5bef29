package gateway

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/catalog"
	"github.com/flamingowind/flamingowind/pkg/forward"
	"github.com/flamingowind/flamingowind/pkg/placement"
	"github.com/flamingowind/flamingowind/pkg/routing"
	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// benchEngines is the number of engines of a large fleet.
const benchEngines = 64

// BenchmarkCandidates finds the candidates for a prompt that no engine has cached.
func BenchmarkCandidates(b *testing.B) { runCandidates(b, Settings{}) }

// BenchmarkCandidatesConnected also tells to which of them the router is connected.
func BenchmarkCandidatesConnected(b *testing.B) {
	runCandidates(b, Settings{ConnectCost: time.Millisecond})
}

func runCandidates(b *testing.B, s Settings) {
	quiet := &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}
	g := New(s, Dependencies{Dialect: testDialect{}, Catalog: catalog.New(quiet), Pools: forward.NewPools("Id"), Health: upstream.NewHealth(), Loads: placement.NewLoadTracker(), PrefixIndex: placement.NewKVIndex(),
		Streams: new(testEnv).newTracker(quiet), Peers: singlePeer{}, Log: quiet})
	var list []upstream.Instance
	loads := make(map[upstream.Life]placement.Load)
	for i := range benchEngines {
		id := upstream.ID(fmt.Sprintf("i-%08x", i))
		list = append(list, upstream.Instance{ID: id, Service: "app", State: upstream.Ready})
		loads[upstream.Life{ID: id}] = placement.Load{Running: 16}
	}
	g.catalog.Replace(list, 1, time.Now(), "bench")
	g.loads.SetOthers(loads)
	if s.ConnectCost > 0 {
		connectEach(b, g, list)
	}
	r := &request{route: &routing.Route{Kind: routing.Stream}, service: &routing.Service{Name: "app"}, prefixes: []placement.Prefix{{Key: 1, Tokens: 800}, {Key: 2, Tokens: 1210}}}
	now := time.Now()
	b.ReportAllocs()
	for b.Loop() {
		benchCandidates(g, r, now)
	}
}

// connectEach opens a connection to each instance of the list, at one address.
func connectEach(b *testing.B, g *Gateway, list []upstream.Instance) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	b.Cleanup(func() { l.Close() })
	for i := range list {
		list[i].Addr = l.Addr().String()
	}
	g.catalog.Replace(list, 2, time.Now(), "bench")
	for i := range list {
		require.NoError(b, g.pools.Probe(b.Context(), g.catalog.Instances().Get(list[i].ID)))
	}
}

func benchCandidates(g *Gateway, r *request, now time.Time) {
	list := candidateSlices.Get().(*[]placement.Candidate)
	*list, _ = g.candidates((*list)[:0], r, now)
	candidateSlices.Put(list)
}
