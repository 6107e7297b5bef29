package clients_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/flamingowind/flamingowind/internal/waiting"
	"github.com/flamingowind/flamingowind/platform/platformtest"
)

const (
	// stalledBody takes memory of the account of bodies, and the crowd's take all of it; so does a body of ordinaryBody.
	stalledBody  = 200_000
	ordinaryBody = 100_000
)

// Long bodies that stop arriving keep the memory for bodies until their route's deadline, and others' bodies are refused.
func TestBodiesThatStallLeaveRoomForOthers(t *testing.T) {
	g := startGateway(t, smallHost.memoryMiB)
	g.patientRoutes(t)
	stalled := unfinishedLength(post(platformtest.PathCall), stalledBody)
	crowd := clients{addr: callers(g), number: smallHost.clients, shape: inTurns(stalled)}.come(t)
	waiting.For(t.Context(), stands)
	requireSoon(t, "a body is served while others stall", answeredIn, func() (any, bool) {
		caller := platformtest.NewCaller()
		defer caller.Close()
		a := caller.Send(t.Context(), platformtest.Call{ID: "ordinary", Addr: callers(g), Path: platformtest.PathCall, Key: key, Body: strings.Repeat("x", ordinaryBody), Wait: callWait})
		return a, a.Status == http.StatusOK && a.Whole
	})
	crowd.leave()
	g.requireCalm(t)
}
