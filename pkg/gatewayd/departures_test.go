package gatewayd

import (
	"math"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/catalog"
	"github.com/flamingowind/flamingowind/pkg/fleet"
	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// Guards against departures that routers without an answer of the upstream learn late or never, that lose their
// age on the way, or that are taken from a report without a bound.
func TestAnnouncedDeparturesAreToldWithTheirAge(t *testing.T) {
	l := &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}
	told, other := catalog.New(l), localState{catalog: catalog.New(l)}
	list := []upstream.Instance{{ID: "a", State: upstream.Ready, Born: 7}, {ID: "b", State: upstream.Ready}}
	now := time.Now()
	told.Replace(list, 1, now, "store")
	other.catalog.Replace(list, 1, now, "store")
	told.NoteDeparture(catalog.Departure{Life: list[0].Life(), At: now.Add(-time.Second)}, "response")
	other.MergeLeaving(fleet.Member{Name: "told"}, encodeDepartures(told.Departures(), now.Add(time.Second)), now.Add(time.Second))
	require.Equal(t, upstream.Draining, other.catalog.Instances().Get("a").State)
	require.Equal(t, upstream.Ready, other.catalog.Instances().Get("b").State)
	require.WithinDuration(t, now.Add(-time.Second), other.catalog.Departures()[0].At, 10*time.Millisecond)

	many := make([]fleet.LeavingUpstream, 2*maxLeavingReported)
	many[0] = fleet.LeavingUpstream{Instance: "b", AgeMs: math.MaxInt64}
	other.MergeLeaving(fleet.Member{}, many, now)
	require.Len(t, other.catalog.Departures(), 2)
	require.Empty(t, encodeDepartures(nil, now))
}
