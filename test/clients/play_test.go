package clients_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/internal/waiting"
)

// host is one on which crowds are played, with the number of clients.
type host struct {
	name      string
	memoryMiB int
	clients   int
}

// Hosts: one below what is deployed, with a crowd that takes over its memory, and one as deployed.
var (
	smallHost = host{name: "small", memoryMiB: 48, clients: 200}
	usualHost = host{name: "usual", memoryMiB: 134, clients: 1500}
)

// staysWithinMemory has a crowd of each host come to an address of a gateway and stand, and requires that the process lives, stays
// within its memory, serves an ordinary caller while the crowd stands, and is as before once it has left.
func staysWithinMemory(t *testing.T, addr func(*gateway) string, of func(client int) shape) {
	for _, h := range []host{smallHost, usualHost} {
		t.Run(h.name, func(t *testing.T) {
			g := startGateway(t, h.memoryMiB)
			w := g.watch(t)
			crowd := clients{addr: addr(g), number: h.clients, shape: of}.come(t)
			waiting.For(t.Context(), stands)
			g.requireServes(t, "while the crowd stands")
			crowd.leave()
			waiting.For(t.Context(), time.Second)
			used := w.end()
			t.Log(used)
			require.LessOrEqual(t, used.together, g.memory())
			g.requireCalm(t)
		})
	}
}

// Addresses of a gateway that clients reach.
func callers(g *gateway) string   { return g.settings.Listen.Callers }
func entries(g *gateway) string   { return g.settings.Listen.Entries }
func readiness(g *gateway) string { return g.settings.Listen.Readiness }
func metrics(g *gateway) string   { return g.settings.Listen.Metrics }
func peers(g *gateway) string     { return g.settings.Listen.Peers }
func handover(g *gateway) string  { return g.settings.Listen.Handover }
