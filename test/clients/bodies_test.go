package clients_test

import (
	"testing"

	"github.com/flamingowind/flamingowind/platform/platformtest"
)

// longBody is a body inside the limit.
const longBody = 4_000_000

// Buffers that chunked bodies outgrow, and what kernels have received of bodies that wait, are in no account.
func TestUnfinishedChunksFitTheMemory(t *testing.T) {
	staysWithinMemory(t, callers, inTurns(unfinishedChunk(post(platformtest.PathCall), longBody)))
}

// What kernels have received of bodies that were refused is in no account.
func TestUnfinishedLengthsFitTheMemory(t *testing.T) {
	staysWithinMemory(t, callers, inTurns(unfinishedLength(post(platformtest.PathCall), longBody)))
}

// Bodies of chunks of one byte take many times their bytes to read.
func TestTinyChunksFitTheMemory(t *testing.T) {
	staysWithinMemory(t, callers, inTurns(unfinishedChunks(post(platformtest.PathCall), 16_000), unfinishedChunks(post(platformtest.PathCall), 200_000)))
}

// The sum of what each request holds without an account exceeds the memory.
func TestSmallUnfinishedBodiesFitTheMemory(t *testing.T) {
	staysWithinMemory(t, callers, inTurns(unfinishedLength(post(platformtest.PathCall), 16<<10)))
}

// Each kind of misuse stays within bounds of its own, and all of them together don't.
func TestMixedMisuseFitsTheMemory(t *testing.T) {
	call := post(platformtest.PathCall)
	staysWithinMemory(t, callers, inTurns(headOf(call, headWithin), headOf(call, headOver), unfinishedLength(call, longBody), unfinishedChunk(call, longBody),
		unfinishedChunks(call, 16_000), unfinishedLength(call, 16<<10),
		repeats(call+"Transfer-Encoding: chunked\r\n\r\n1;x=", "y", endless), repeats(call+"Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n", endless)))
}

const (
	// manyDescriptors are those of a usual host, largeCrowd is more clients than that.
	manyDescriptors = 4100
	largeCrowd      = 5000
)

// Connections that wait to be accepted or refused hold what their clients have sent, beside those that are served.
func TestALargeCrowdFitsTheMemory(t *testing.T) {
	g := startGateway(t, usualHost.memoryMiB)
	g.limitDescriptors(t, manyDescriptors)
	stalls(t, g, clients{addr: callers(g), number: largeCrowd, shape: inTurns(unfinishedChunk(post(platformtest.PathCall), longBody))})
}

// Bodies that nobody asked for, at addresses that read none, stay in the kernel.
func TestBodiesAtOtherAddressesFitTheMemory(t *testing.T) {
	for name, addr := range map[string]func(*gateway) string{"entries": entries, "readiness": readiness, "metrics": metrics, "peers": peers} {
		t.Run(name, func(t *testing.T) {
			begin := head("POST", "/resolve")
			staysWithinMemory(t, addr, inTurns(unfinishedChunk(begin, longBody), unfinishedLength(begin, longBody)))
		})
	}
}
