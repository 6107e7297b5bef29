package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/routing"
	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// Bytes between availability zones are paid for; an instance in the router's own zone is
// cheaper where both are idle.
func TestInstancesInTheOwnZoneCostLess(t *testing.T) {
	req := Request{Service: &routing.Service{Name: "app"}, Zone: "a"}
	near := Candidate{Instance: &upstream.Instance{ID: "x", Zone: "a", Slots: 4}}
	far := Candidate{Instance: &upstream.Instance{ID: "x", Zone: "b", Slots: 4}}
	require.Equal(t, farCost, evaluate(req, far, holders{}, usual).Cost-evaluate(req, near, holders{}, usual).Cost)
	busy := near
	busy.Load.Running = 4
	require.Greater(t, evaluate(req, busy, holders{}, usual).Cost, evaluate(req, far, holders{}, usual).Cost)
	require.Less(t, farCost, 100*time.Millisecond)
}
