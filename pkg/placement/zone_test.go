package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/routing"
	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// Traffic between availability zones is paid for, so an instance in the router's own zone is
// cheaper where both are idle.
func TestInstancesInTheOwnZoneCostLess(t *testing.T) {
	req := Request{Service: &routing.Service{Name: "app"}, Zone: "a"}
	sameZone := Candidate{Instance: &upstream.Instance{ID: "x", Zone: "a", Slots: 4}}
	otherZone := Candidate{Instance: &upstream.Instance{ID: "x", Zone: "b", Slots: 4}}
	require.Equal(t, crossZoneCost, evaluate(&req, &otherZone, holders{}, usualSpeed).Cost-evaluate(&req, &sameZone, holders{}, usualSpeed).Cost)
	busy := sameZone
	busy.Load.Running = 4
	require.Greater(t, evaluate(&req, &busy, holders{}, usualSpeed).Cost, evaluate(&req, &otherZone, holders{}, usualSpeed).Cost)
	require.Less(t, crossZoneCost, 100*time.Millisecond)
}
