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

// lifeModel is the state that one router keeps of one upstream that restarts under the same ID.
type lifeModel struct {
	catalog *catalog.Catalog
	local   *localState
	health  *upstream.Health
}

func newLifeModel() *lifeModel {
	quiet := &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}
	c := catalog.New(quiet)
	return &lifeModel{catalog: c, health: upstream.NewHealth(), local: &localState{catalog: c, loads: placement.NewLoadTracker(), inflows: placement.NewInflows(), estimator: pace.NewEstimator(),
		prefixIndex: placement.NewKVIndex(), shares: placement.NewShares()}}
}

func (m *lifeModel) present() *upstream.Instance { return m.catalog.Instances().Get("i") }

// instanceBorn returns the upstream in the life that began at born.
func instanceBorn(born int64) upstream.Instance {
	return upstream.Instance{ID: "i", Service: "s", Addr: "127.0.0.1:1", State: upstream.Ready, Born: born}
}

// promptPrefixes returns the prefixes of a prompt.
var promptPrefixes = []placement.Prefix{{Key: 7, Tokens: 100}}

// reportsOf returns a peer's report of work at a life and of a prompt prefix in its cache.
func reportsOf(in upstream.Instance) (map[fleet.LifeKey]fleet.InstanceLoad, []fleet.CachedPrefix) {
	start := in.Life().Start
	return map[fleet.LifeKey]fleet.InstanceLoad{{Instance: "i", Life: start}: {Instance: "i", Life: start, Running: 3, PrefillTokens: 50}},
		[]fleet.CachedPrefix{{Key: 7, Instance: "i", Life: start}}
}

// changesOf returns the store's changes of the revisions after after up to rev: the first life is
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

// Guards against state of an earlier life that is applied to the current one. An engine restarts,
// and its host's clock may have gone back. Updates of both lives arrive in any order: the store's
// list, peers' lists of older and newer revisions, peers' work and cached prompts at either life,
// late or repeated, and this router's own work and failures. The current life is that of the newest
// revision, and only updates about it count for it.
func TestStateBelongsToTheLifeOfTheNewestRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newLifeModel()
		lives := []upstream.Instance{instanceBorn(rapid.Int64Range(1, 5).Draw(t, "first")), instanceBorn(rapid.Int64Range(6, 9).Draw(t, "second"))}
		if rapid.Bool().Draw(t, "clock went back") {
			lives[0], lives[1] = lives[1], lives[0]
		}
		const restart = 10 // the revision at which the second life is listed
		newest, cached, loaded, failed := int64(0), map[upstream.Life]bool{}, upstream.Life{}, map[upstream.Life]bool{}
		now := time.Now()
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			of := lives[rapid.IntRange(0, 1).Draw(t, "life")]
			switch rapid.SampledFrom([]string{"list", "feed", "load", "read", "fail", "use"}).Draw(t, "news") {
			case "list":
				rev := rapid.Int64Range(1, 20).Draw(t, "revision")
				m.catalog.Replace([]upstream.Instance{lives[min(1, rev/restart)]}, catalog.Revision(rev), now, "test")
				newest = max(newest, rev)
			case "feed":
				after := rapid.Int64Range(0, 20).Draw(t, "after")
				rev := rapid.Int64Range(after, 20).Draw(t, "revision")
				m.catalog.Apply(changesOf(lives, restart, after, rev), catalog.Revision(after), catalog.Revision(rev), time.Now(), "test")
				if after <= newest && rev >= newest {
					newest = rev
				}
			case "load":
				l, _ := reportsOf(of)
				m.local.SetOthers(fleet.Totals{Loads: l})
				loaded = of.Life()
			case "read":
				_, list := reportsOf(of)
				m.local.AddPrefixes(list)
				cached[of.Life()] = true
			case "fail":
				m.health.Observe(of.Life(), upstream.ConnectionFailed, now)
				failed[of.Life()] = true
			case "use":
				m.local.prefixIndex.RecordUse(of.Life(), promptPrefixes, now)
				cached[of.Life()] = true
			}
		}
		in := m.present()
		if newest == 0 {
			return // nothing is listed yet
		}
		if want := lives[min(1, newest/restart)]; *in != want {
			t.Fatalf("at revision %d the current life is %+v, want %+v", newest, *in, want)
		}
		life := in.Life()
		if hasPrefix := m.local.prefixIndex.Lookup(promptPrefixes, now)[life].Sent > 0; hasPrefix != cached[life] {
			t.Fatalf("prefix in the index: %v, reported: %v", hasPrefix, cached[life])
		}
		if running := m.local.loads.Load(life).Running; (running == 3) != (loaded == life) {
			t.Fatalf("%d running, last reported %v", running, loaded)
		}
		if _, usable := m.health.Usable(life, now); usable == failed[life] {
			t.Fatalf("usable: %v, failed: %v", usable, failed[life])
		}
	})
}

// Guards against work of the old life that ends, with failures, after the new one has begun. It must
// neither change the counts of the new life nor be reported to other routers as its load.
func TestWorkOfAnEarlierLifeIsNotCountedForTheNext(t *testing.T) {
	m := newLifeModel()
	old, next := instanceBorn(5), instanceBorn(3)
	m.catalog.Replace([]upstream.Instance{old}, 1, time.Now(), "store")
	work := m.local.loads.Begin(m.present().Life(), placement.Work{PrefillTokens: 10})
	m.catalog.Apply([]upstream.Change{{Instance: next}}, 1, 2, time.Now(), "store")
	require.Zero(t, m.local.loads.Load(m.present().Life()).Running)
	later := m.local.loads.Begin(m.present().Life(), placement.Work{})
	work.End()
	m.health.Observe(old.Life(), upstream.ConnectionFailed, time.Now())
	require.Equal(t, 1, m.local.loads.Load(next.Life()).Running)
	_, usable := m.health.Usable(next.Life(), time.Now())
	require.True(t, usable)
	var r fleet.Report
	m.local.ready, m.local.cpuStarved = func() bool { return true }, func() bool { return false }
	m.local.Describe(&r)
	require.Equal(t, []fleet.InstanceLoad{{Instance: "i", Life: 3, Running: 1}}, r.Loads)
	later.End()
}
