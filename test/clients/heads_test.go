package clients_test

import (
	"testing"

	"github.com/flamingowind/flamingowind/platform/platformtest"
)

const (
	// headWithin is a head inside the limit, headOver one over it.
	headWithin = 14_000
	headOver   = 36 << 10
)

// Parsed heads of many short lines take several times their bytes, and nothing counts them.
func TestHeadsWithinTheLimitFitTheMemory(t *testing.T) {
	staysWithinMemory(t, callers, inTurns(headOf(post(platformtest.PathCall), headWithin)))
}

// Heads are read far beyond the configured limit.
func TestHeadsOverTheLimitFitTheMemory(t *testing.T) {
	staysWithinMemory(t, callers, inTurns(headOf(post(platformtest.PathCall), headOver)))
}

// A line without end, or empty lines before a request, are read for as long as they come.
func TestHeadsWithoutEndFitTheMemory(t *testing.T) {
	staysWithinMemory(t, callers, inTurns(repeats(post(platformtest.PathCall, "X: "), "x", endless), repeats("", "\r\n", endless),
		repeats(post(platformtest.PathCall), "a:\r\n", endless)))
}

// The other addresses read heads of any client without counting them.
func TestHeadsAtOtherAddressesFitTheMemory(t *testing.T) {
	for name, addr := range map[string]func(*gateway) string{"entries": entries, "readiness": readiness, "metrics": metrics, "peers": peers, "handover": handover} {
		t.Run(name, func(t *testing.T) {
			staysWithinMemory(t, addr, inTurns(headOf(head("GET", "/resolve?Name=h&Zone=z"), headOver)))
		})
	}
}
