package clients_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/internal/waiting"
	"github.com/flamingowind/flamingowind/platform/platformtest"
)

// deafClients is the number of callers that read nothing of long answers.
const deafClients = 100

// What engines send to callers that read nothing stays in the router and in its kernel, without a bound of time.
func TestAnswersThatNobodyReadsFitTheMemory(t *testing.T) {
	g := startGateway(t, smallHost.memoryMiB)
	g.patientRoutes(t)
	for _, e := range g.engines {
		e.Behave(platformtest.Behaviour{EndlessBody: 1})
	}
	w := g.watch(t)
	crowd := clients{addr: callers(g), number: deafClients, deaf: true, shape: inTurns(sends(post(platformtest.PathCall) + "Content-Length: 0\r\n\r\n"))}.come(t)
	waiting.For(t.Context(), stands)
	for _, e := range g.engines {
		e.Behave(platformtest.Behaviour{})
	}
	g.requireServes(t, "while the crowd stands")
	g.requireAnswers(t, "while the crowd stands")
	crowd.leave()
	used := w.end()
	t.Log(used)
	require.LessOrEqual(t, used.together, g.memory())
	g.requireCalm(t)
}
