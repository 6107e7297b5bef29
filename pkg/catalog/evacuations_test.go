package catalog

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/flamingowind/flamingowind/pkg/routing"
	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// Guards against an evacuation that is lost while the store is unavailable, and against one that
// remains after the zone was restored.
func TestEvacuationsHoldUntilRestored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{rev: 1, config: &routing.Config{Version: 1}, evacuated: map[string]bool{"a": true},
			instances: []upstream.Instance{{ID: "i", Zone: "a", State: upstream.Ready}}}
		c, h := startWatcher(t, s)
		time.Sleep(time.Second)
		require.True(t, c.Evacuated("a"))
		require.False(t, c.Placeable(c.Instances().Get("i")))
		s.update(func() { s.down = true })
		time.Sleep(20 * time.Second)
		require.True(t, c.Evacuated("a"))
		s.update(func() { s.down, s.rev, s.evacuated = false, 5, map[string]bool{"b": true} })
		time.Sleep(5 * time.Second)
		require.False(t, c.Evacuated("a"), "restored while the store was unavailable")
		require.True(t, c.Evacuated("b"))
		s.update(func() { s.rev, s.zoneChanges = 6, []ZoneChange{{Zone: "b", Restored: true}, {Zone: "nobody's"}} })
		time.Sleep(time.Second)
		require.Equal(t, []string{"nobody's"}, c.Evacuations().Zones)
		require.True(t, c.Placeable(c.Instances().Get("i")))
		require.Equal(t, 3, h.count("zones_evacuated"))
	})
}

// Guards against updates that overtake each other: whether they arrive late, twice or from peers, a
// router never returns to an older state.
func TestEvacuationsOnlyMoveForward(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := []string{"a", "b", "c"}
		// history holds the evacuated zones at each revision, steps the change of each revision.
		history, steps := [][]string{nil}, []ZoneChange{{}}
		for range rapid.IntRange(1, 20).Draw(t, "changes") {
			ch := ZoneChange{Zone: rapid.SampledFrom(zones).Draw(t, "zone"), Restored: rapid.Bool().Draw(t, "restored")}
			next := slices.DeleteFunc(slices.Clone(history[len(history)-1]), func(z string) bool { return z == ch.Zone })
			if !ch.Restored {
				next = append(next, ch.Zone)
			}
			slices.Sort(next)
			history, steps = append(history, next), append(steps, ch)
		}
		l, _ := newTestLogger()
		c := New(l)
		var restored []string
		c.OnZonesRestored(func(zones []string, _ time.Time) { restored = append(restored, zones...) })
		newest := 0
		for range rapid.IntRange(1, 40).Draw(t, "news") {
			rev := rapid.IntRange(1, len(history)-1).Draw(t, "rev")
			if rapid.Bool().Draw(t, "whole") {
				c.ReplaceEvacuations(history[rev], Revision(rev), "peer")
				newest = max(newest, rev)
			} else if after := rapid.IntRange(0, rev-1).Draw(t, "after"); newest > 0 {
				c.ApplyZoneChanges(steps[after+1:rev+1], Revision(after), Revision(rev), "store")
				if after <= newest {
					newest = max(newest, rev)
				}
			}
			require.EqualValues(t, newest, c.Evacuations().Revision)
			require.Equal(t, append([]string{}, history[newest]...), append([]string{}, c.Evacuations().Zones...))
		}
	})
}
