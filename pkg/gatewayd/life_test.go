package gatewayd

import (
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/flamingowind/flamingowind/pkg/catalog"
	"github.com/flamingowind/flamingowind/pkg/fleet"
	"github.com/flamingowind/flamingowind/pkg/pace"
	"github.com/flamingowind/flamingowind/pkg/placement"
	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// lifeWorld is what one router believes of one upstream that starts again under its ID.
type lifeWorld struct {
	catalog *catalog.Catalog
	telling *telling
	health  *upstream.Health
}

func newLifeWorld() *lifeWorld {
	quiet := &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}
	c := catalog.New(quiet)
	return &lifeWorld{catalog: c, health: upstream.NewHealth(), telling: &telling{catalog: c, ledger: placement.NewLoadTracker(), inflows: placement.NewInflows(), paces: pace.NewEstimator(),
		holdings: placement.NewKVIndex(), shares: placement.NewShares()}}
}

func (w *lifeWorld) present() *upstream.Instance { return w.catalog.Instances().Get("i") }

// instanceBorn is the upstream in the life that began at born.
func instanceBorn(born int64) upstream.Instance {
	return upstream.Instance{ID: "i", Service: "s", Addr: "127.0.0.1:1", State: upstream.Ready, Born: born}
}

// chain is a prompt's beginning.
var chain = []placement.Prefix{{Key: 7, Tokens: 100}}

// told gives a peer's report of work at a life and of a prompt that it has read.
func told(in upstream.Instance) (map[fleet.LifeKey]fleet.InstanceLoad, []fleet.CachedPrefix) {
	start := in.Life().Start
	return map[fleet.LifeKey]fleet.InstanceLoad{{Instance: "i", Life: start}: {Instance: "i", Life: start, Running: 3, PrefillTokens: 50}},
		[]fleet.CachedPrefix{{Key: 7, Instance: "i", Life: start}}
}

// changesOf gives what the store tells of the revisions after after up to rev: the first life is
// listed at 1, the second at restart.
func changesOf(lives []upstream.Instance, restart, after, rev int64) []upstream.Change {
	var list []upstream.Change
	for i, at := range []int64{1, restart} {
		if after < at && at <= rev {
			list = append(list, upstream.Change{Instance: lives[i]})
		}
	}
	return list
}

// An engine starts again, and its host's time of day may have gone back. The news of both
// lives comes in any order: the store's list, peers' lists of older and newer revisions, peers'
// work and prompts read at either life, late or more than once, and this router's own work and
// failures. Whatever came last, the router must believe of the present life only what was said
// of it, and the present life is the one of the newest revision.
func TestBeliefsBelongToTheLifeOfTheNewestRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newLifeWorld()
		lives := []upstream.Instance{instanceBorn(rapid.Int64Range(1, 5).Draw(t, "first")), instanceBorn(rapid.Int64Range(6, 9).Draw(t, "second"))}
		if rapid.Bool().Draw(t, "clock went back") {
			lives[0], lives[1] = lives[1], lives[0]
		}
		const restart = 10 // the revision at which the second life is listed
		newest, reads, loads, failed := int64(0), map[upstream.Life]bool{}, upstream.Life{}, map[upstream.Life]bool{}
		now := time.Now()
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			of := lives[rapid.IntRange(0, 1).Draw(t, "life")]
			switch rapid.SampledFrom([]string{"list", "feed", "load", "read", "fail", "use"}).Draw(t, "news") {
			case "list":
				rev := rapid.Int64Range(1, 20).Draw(t, "revision")
				w.catalog.Replace([]upstream.Instance{lives[min(1, rev/restart)]}, catalog.Revision(rev), now, "test")
				newest = max(newest, rev)
			case "feed":
				after := rapid.Int64Range(0, 20).Draw(t, "after")
				rev := rapid.Int64Range(after, 20).Draw(t, "revision")
				w.catalog.Apply(changesOf(lives, restart, after, rev), catalog.Revision(after), catalog.Revision(rev), time.Now(), "test")
				if after <= newest && rev >= newest {
					newest = rev
				}
			case "load":
				l, _ := told(of)
				w.telling.SetOthers(fleet.Totals{Loads: l})
				loads = of.Life()
			case "read":
				_, list := told(of)
				w.telling.AddPrefixes(list)
				reads[of.Life()] = true
			case "fail":
				w.health.Observe(of.Life(), upstream.Silent, now)
				failed[of.Life()] = true
			case "use":
				w.telling.holdings.RecordUse(of.Life(), chain, now)
				reads[of.Life()] = true
			}
		}
		in := w.present()
		if newest == 0 {
			return // nothing is listed yet
		}
		if want := lives[min(1, newest/restart)]; *in != want {
			t.Fatalf("at revision %d the present life is %+v, not %+v", newest, *in, want)
		}
		life := in.Life()
		if kept := w.telling.holdings.Lookup(chain, now)[life].Sent > 0; kept != reads[life] {
			t.Fatalf("keeps the prompt: %v, was told so: %v", kept, reads[life])
		}
		if running := w.telling.ledger.Load(life).Running; (running == 3) != (loads == life) {
			t.Fatalf("%d running, last told of %v", running, loads)
		}
		if _, usable := w.health.Usable(life, now); usable == failed[life] {
			t.Fatalf("usable: %v, failed: %v", usable, failed[life])
		}
	})
}

// Work in progress at the old life ends after the new one has begun, with failures. None of it
// may change what is counted for the new life, nor be told to others as its load.
func TestWorkOfTheOldLifeEndsApart(t *testing.T) {
	w := newLifeWorld()
	old, next := instanceBorn(5), instanceBorn(3)
	w.catalog.Replace([]upstream.Instance{old}, 1, time.Now(), "store")
	work := w.telling.ledger.Begin(w.present().Life(), placement.Work{PrefillTokens: 10})
	w.catalog.Apply([]upstream.Change{{Instance: next}}, 1, 2, time.Now(), "store")
	require.Zero(t, w.telling.ledger.Load(w.present().Life()).Running)
	later := w.telling.ledger.Begin(w.present().Life(), placement.Work{})
	work.End()
	w.health.Observe(old.Life(), upstream.Silent, time.Now())
	require.Equal(t, 1, w.telling.ledger.Load(next.Life()).Running)
	_, usable := w.health.Usable(next.Life(), time.Now())
	require.True(t, usable)
	var r fleet.Report
	w.telling.ready, w.telling.pressed = func() bool { return true }, func() bool { return false }
	w.telling.Describe(&r)
	require.Equal(t, []fleet.InstanceLoad{{Instance: "i", Life: 3, Running: 1}}, r.Loads)
	later.End()
}
