package clients_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/internal/waiting"
	"github.com/flamingowind/flamingowind/platform/platformtest"
)

const (
	// fewDescriptors are what the process may open, waitingClients more than that.
	fewDescriptors = 200
	waitingClients = 300
	// manyClients are more than the requests that a small host serves at once.
	manyClients = 500
)

// Clients that connect and never finish a request keep all descriptors, and ordinary callers aren't accepted.
func TestClientsThatStallLeaveRoomForOthers(t *testing.T) {
	call := post(platformtest.PathCall)
	for name, of := range map[string]func(int) shape{
		"nothing": inTurns(sends("")), "half a head": inTurns(sends(call)), "most of a small body": inTurns(unfinishedLength(call, 16<<10)),
		"most of a long body": inTurns(unfinishedLength(call, longBody)), "nothing after an answer": inTurns(sends(call + "Content-Length: 0\r\n\r\n")),
	} {
		t.Run(name, func(t *testing.T) {
			g := startGateway(t, usualHost.memoryMiB)
			g.limitDescriptors(t, fewDescriptors)
			stalls(t, g, clients{addr: callers(g), number: waitingClients, shape: of})
		})
	}
}

// Requests whose bodies never come count as being served, and ordinary callers are refused.
func TestUnfinishedBodiesTakeNoPlaces(t *testing.T) {
	call := post(platformtest.PathCall)
	for name, of := range map[string]func(int) shape{"small": inTurns(unfinishedLength(call, 16<<10)), "long": inTurns(unfinishedLength(call, longBody))} {
		t.Run(name, func(t *testing.T) {
			g := startGateway(t, smallHost.memoryMiB)
			stalls(t, g, clients{addr: callers(g), number: manyClients, shape: of})
		})
	}
}

// stalls has a crowd come and stand, and requires that ordinary callers are served meanwhile and afterwards.
func stalls(t *testing.T, g *gateway, c clients) {
	w := g.watch(t)
	crowd := c.come(t)
	waiting.For(t.Context(), stands)
	g.requireServes(t, "while the crowd stands")
	g.requireAnswers(t, "while the crowd stands")
	crowd.leave()
	used := w.end()
	t.Log(used)
	require.LessOrEqual(t, used.together, g.memory())
	g.requireCalm(t)
}
