package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/routing"
	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// Guards against refusing calls at idle instances because all of them failed now and then.
func TestCallsAtInstancesThatFailAreNotTakenForQueued(t *testing.T) {
	var candidates []Candidate
	for _, id := range []upstream.ID{"a", "b", "c"} {
		candidates = append(candidates, Candidate{Instance: &upstream.Instance{ID: id, Slots: 6}, Handicap: 260 * time.Millisecond})
	}
	req := Request{Service: &routing.Service{Name: "app"}, Random: 0.5,
		Limits: Limits{Wait: 30 * time.Millisecond, Queue: 30 * time.Millisecond, ChosenQueue: 30 * time.Millisecond}}
	pace := Speed{CallTime: 15 * time.Millisecond}
	require.True(t, Choose(req, candidates, pace).OK)

	req.Unseen.Assigned = time.Second
	found := Choose(req, candidates, pace)
	require.False(t, found.OK, "other routers have filled them meanwhile")
	require.Greater(t, found.ShortestQueue, req.Limits.Queue)
}
