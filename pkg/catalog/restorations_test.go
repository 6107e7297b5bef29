package catalog

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/routing"
)

// Guards against a restoration that no router knows of, as the whole fleet started just after it.
func TestRestorationsBeforeTheStartAreReadFromHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{rev: 5000, config: &routing.Config{Version: 1}, zoneChanges: []ZoneChange{{Zone: "a", Restored: true}, {Zone: "b"}}}
		s.evacuated = map[string]bool{"b": true}
		c, h := startWatcher(t, s)
		time.Sleep(time.Second)
		require.Len(t, c.Restorations(time.Now()), 1)
		require.Equal(t, "a", c.Restorations(time.Now())[0].Zone)
		require.Equal(t, 1, h.count("zone_restored"))
		require.Equal(t, []string{"b"}, c.Evacuations().Zones)
	})
}

// Guards against a router that starts just after a zone was restored and considers its upstreams
// warm, and against restorations that are applied again with each report.
func TestRestorationsAreAppliedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, h := newTestLogger()
		c := New(l)
		taken := make(map[string][]time.Time)
		c.OnZonesRestored(func(zones []string, at time.Time) {
			for _, zone := range zones {
				taken[zone] = append(taken[zone], at)
			}
		})
		c.ReplaceEvacuations([]string{"a"}, 5, "store")
		c.ReplaceEvacuations(nil, 6, "store")
		began := time.Now()
		require.Equal(t, []Restoration{{Zone: "a", At: began, Revision: 6}}, c.Restorations(began))
		time.Sleep(time.Second)
		for range 2 {
			c.MergeRestorations([]Restoration{
				{Zone: "a", Revision: 6, At: began},
				{Zone: "b", Revision: 4, At: began.Add(-time.Second)},
				{Zone: "long ago", Revision: 1, At: began.Add(-restorationRetention)},
				{Zone: "to come", Revision: 9, At: began.Add(time.Hour)},
			}, "peer")
		}
		require.Equal(t, map[string][]time.Time{"a": {began}, "b": {began.Add(-time.Second)}, "to come": {began.Add(time.Second)}}, taken)
		require.Equal(t, 2, h.count("zone_restored"))

		c.MergeRestorations([]Restoration{{Zone: "b", Revision: 12, At: time.Now()}}, "peer")
		require.Len(t, taken["b"], 2, "restored again")
		time.Sleep(restorationRetention)
		require.Empty(t, c.Restorations(time.Now()))
	})
}
