package clients_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/internal/devfleet"
	"github.com/flamingowind/flamingowind/internal/waiting"
	"github.com/flamingowind/flamingowind/platform/platformtest"
)

const (
	// signals is how often the process is told to read its settings again, signalEvery the time between two.
	signals     = 5
	signalEvery = 300 * time.Millisecond
	// leavesIn is longer than the time that a router may take to leave.
	leavesIn = 20 * time.Second
)

// mixed are shapes of every kind, in turns.
func mixed() func(int) shape {
	call := post(platformtest.PathCall)
	return inTurns(sends(""), headOf(call, headWithin), headOf(call, headOver), unfinishedLength(call, longBody), unfinishedChunk(call, longBody),
		unfinishedChunks(call, 16_000), unfinishedLength(call, 16<<10), repeats("", "\r\n", endless), sends(call))
}

// Clients that return at once when they are closed take the places of ordinary callers again and again.
func TestClientsThatReturnLeaveRoomForOthers(t *testing.T) {
	g := startGateway(t, usualHost.memoryMiB)
	g.limitDescriptors(t, fewDescriptors)
	stalls(t, g, clients{addr: callers(g), number: waitingClients, shape: mixed(), returning: true})
}

// A router that reads its settings again, or is told to leave, beside a crowd hangs or ends by itself.
func TestSignalsBesideACrowdAreHeeded(t *testing.T) {
	g := startGateway(t, smallHost.memoryMiB)
	w := g.watch(t)
	clients{addr: callers(g), number: smallHost.clients, shape: mixed(), returning: true}.come(t)
	for range signals {
		waiting.For(t.Context(), signalEvery)
		require.NoError(t, g.process.Hangup())
	}
	g.requireServes(t, "after the signals")
	require.NoError(t, g.process.Terminate())
	require.Eventually(t, g.process.Ended, leavesIn, tryEvery, "the process doesn't leave")
	used := w.end()
	t.Log(used)
	require.LessOrEqual(t, used.together, g.memory())
}

// Turns of the processor that make a router hand callers over.
const (
	runs   = 10 * time.Millisecond
	pauses = 90 * time.Millisecond
)

// A crowd that one router hands over exceeds the memory of the next one.
func TestACrowdThatIsHandedOverFitsTheMemory(t *testing.T) {
	first := startGateway(t, smallHost.memoryMiB)
	second := first.startBeside(t, "second")
	watches := []*watch{first.watch(t), second.watch(t)}
	crowd := clients{addr: callers(first), number: smallHost.clients, shape: mixed(), returning: true}.come(t)
	throttle(t, first.process, stands)
	second.requireServes(t, "while the crowd stands")
	crowd.leave()
	for i, g := range []*gateway{first, second} {
		used := watches[i].end()
		t.Log(used)
		require.LessOrEqual(t, used.together, g.memory())
		g.requireCalm(t)
	}
}

// throttle gives the process a tenth of a core for a time, in turns as a quota gives it.
func throttle(t *testing.T, p *devfleet.Process, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		waiting.For(t.Context(), runs)
		require.NoError(t, p.Pause())
		waiting.For(t.Context(), pauses)
		require.NoError(t, p.Resume())
	}
}
