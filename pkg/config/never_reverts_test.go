package config_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/flamingowind/flamingowind/pkg/config"
)

// write lets a router accept a change, as its operator API does.
func (w *world) write(r *router) {
	name := fmt.Sprintf("org-%d", w.now.UnixNano()+int64(w.random.IntN(1000)))
	result, err := r.store.Write(context.Background(), putOrg("op-"+name, name, 1))
	if err != nil || result.Snapshot == nil {
		w.noteAccepted()
		return
	}
	_ = r.live.Adopt(w.now, result.Snapshot)
	r.live.Confirm(w.now, result.Version)
	w.noteAccepted()
}

// noteAccepted looks into the table: a write whose answer was lost counts too.
func (w *world) noteAccepted() {
	head, err := config.NewStore(w.table.Copy(), config.StoreOptions{}).Head(context.Background())
	if err != nil {
		panic(err)
	}
	for uint64(len(w.accepted)) < head.Version {
		w.accepted = append(w.accepted, w.now)
	}
}

// check holds after every action, for every router that runs.
func (w *world) check(t *rapid.T) {
	for _, r := range w.routers {
		version := r.live.Version()
		require.GreaterOrEqual(t, version, r.lastSeen, "%s went back", r.id())
		for v := r.lastSeen + 1; v <= version; v++ {
			r.gained[v] = w.now
		}
		r.lastSeen = version
	}
	for _, r := range w.routers {
		if !r.paused {
			w.checkServing(t, r)
		}
	}
}

func (w *world) checkServing(t *rapid.T, r *router) {
	version := r.live.Version()
	switch r.live.Basis(w.now) {
	case config.BasisConfirmed:
		if version < uint64(len(w.accepted)) {
			age := w.now.Sub(w.accepted[version])
			require.LessOrEqual(t, age, confirmWithin, "%s serves %d by confirmation; the next was accepted %s ago", r.id(), version, age)
		}
	case config.BasisMajority:
		holders := 0
		for _, other := range w.routers {
			if since, ok := other.gained[version+1]; ok && w.now.Sub(since) > confirmWithin {
				holders++
			}
		}
		require.LessOrEqual(t, holders*2, len(w.routers), "%s serves %d by majority; a majority has held a newer one for longer than ConfirmWithin", r.id(), version)
	}
}

func (w *world) draw(t *rapid.T) *router {
	return w.routers[rapid.IntRange(0, len(w.routers)-1).Draw(t, "router")]
}

// Operators change the configuration while routers are paused, restarted without
// state and cut off, and while the table is out or loses answers. A caller gets an
// answer made with an older configuration than before: a router took an old snapshot,
// an old confirmation or a minority for the truth.
func TestNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(5, 7)
		t.Repeat(map[string]func(*rapid.T){
			"write":     func(t *rapid.T) { w.write(w.draw(t)) },
			"restart":   func(t *rapid.T) { w.draw(t).restart() },
			"pause":     func(t *rapid.T) { r := w.draw(t); r.paused = !r.paused },
			"cutTable":  func(t *rapid.T) { r := w.draw(t); r.cut = !r.cut },
			"partition": func(t *rapid.T) { w.draw(t).side = rapid.IntRange(0, 1).Draw(t, "side") },
			"heal": func(*rapid.T) {
				for _, r := range w.routers {
					r.side, r.cut, r.paused = 0, false, false
				}
			},
			"tableDown": func(t *rapid.T) { w.table.SetDown(rapid.Bool().Draw(t, "down")) },
			"loseAnswers": func(t *rapid.T) {
				lose := rapid.Bool().Draw(t, "lose")
				w.table.Lose(func() bool { return lose && w.random.IntN(2) == 0 })
			},
			"ticks": func(t *rapid.T) {
				for range rapid.IntRange(1, 16).Draw(t, "ticks") {
					w.step(len(w.routers))
					w.check(t)
				}
			},
			"": w.check,
		})
	})
}

// All goes well, then the table is out for an hour. Callers must not notice: a
// majority of routers goes on with the last configuration, without a gap.
func TestServesThroughLongOutage(t *testing.T) {
	w := newWorld(5, 1)
	w.write(w.routers[0])
	for range 8 {
		w.step(len(w.routers))
	}
	w.table.SetDown(true)
	for elapsed := time.Duration(0); elapsed < time.Hour; elapsed += tick {
		w.step(len(w.routers))
		for _, r := range w.routers {
			require.NoError(t, r.live.Admit(w.now), "%s after %s", r.id(), elapsed)
		}
	}
}

// Two of five routers are cut off together, from the table and from the others. To
// them it looks like an outage of the store, while operators go on changing the
// configuration. They must stop within ConfirmWithin.
func TestMinorityStops(t *testing.T) {
	w := newWorld(5, 1)
	w.write(w.routers[0])
	for range 8 {
		w.step(len(w.routers))
	}
	for _, r := range w.routers[3:] {
		r.cut, r.side = true, 1
	}
	for range int(confirmWithin/tick) + 1 {
		w.step(len(w.routers))
	}
	for i, r := range w.routers {
		if err := r.live.Admit(w.now); i < 3 {
			require.NoError(t, err)
		} else {
			require.Error(t, err)
		}
	}
}

// A router sleeps through a change and wakes up cut off from the table and from its
// peers. Its first read fails, and its member view, from before the pause, still shows
// everybody: it must not take that for an outage of the table seen by a majority.
func TestPausedRouterDistrustsOldMembers(t *testing.T) {
	w := newWorld(5, 1)
	w.write(w.routers[0])
	for range 8 {
		w.step(len(w.routers))
	}
	sleeper := w.routers[4]
	sleeper.paused = true
	w.write(w.routers[0])
	for range 20 {
		w.step(len(w.routers))
	}
	sleeper.paused, sleeper.cut, sleeper.side = false, true, 1
	sleeper.run()
	require.Equal(t, 5, sleeper.alive, "the member view is still the old one")
	require.Error(t, sleeper.live.Admit(w.now))
}
