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
)

// Guards against a router that starts after a zone was restored, gets only the current state and
// treats the zone's upstreams as warm.
func TestRestorationIsReportedToRoutersThatStartAfterIt(t *testing.T) {
	l := &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}
	older, newer := catalog.New(l), catalog.New(l)
	older.ReplaceEvacuations([]string{"a"}, 5, "store")
	older.ReplaceEvacuations(nil, 6, "store")
	newer.ReplaceEvacuations(nil, 6, "store")
	var at time.Time
	newer.OnZonesRestored(func(zones []string, restored time.Time) {
		require.Equal(t, []string{"a"}, zones)
		at = restored
	})
	now := time.Now()
	reported := encodeRestorations(older, now.Add(2*time.Second))
	local := localState{catalog: newer}
	local.MergeEvacuated(fleet.Member{Name: "witness"}, nil, 6, reported)
	require.WithinDuration(t, now.Add(-2*time.Second), at, time.Second)
}

// Guards against reported ages below 0 or beyond the maximum.
func TestAgesOfRestorationsAreBounded(t *testing.T) {
	now := time.Now()
	for _, ms := range []int64{math.MinInt64, -1, 0} {
		require.Equal(t, now, decodeRestorations([]fleet.RestoredZone{{AgeMs: ms}}, now)[0].At)
	}
	require.Equal(t, now.Add(-time.Hour), decodeRestorations([]fleet.RestoredZone{{AgeMs: math.MaxInt64}}, now)[0].At)
}
