package affinity

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

func TestSoleVersionNeedsNoRecord(t *testing.T) {
	f := newFixture()
	f.list("v1", "v1")
	f.Begin("o", "r", f.instance("v1"), f.now)
	require.Empty(t, f.TakeRecords(f.now))
	require.Equal(t, bound("v1", SoleVersion), f.find(""))
	require.Equal(t, bound("v1", OwnRecord), f.find("r"))
	require.Zero(t, f.asked)
}

// Guards against a sole version claimed by a router that can't know: each case could resume a stream
// at another version than the one that began it.
func TestSoleVersionMustBeCertain(t *testing.T) {
	for name, change := range map[string]func(f *fixture){
		"another version is listed":         func(f *fixture) { f.list("v1", "v2") },
		"another version left a moment ago": func(f *fixture) { f.list("v1", "v2"); f.list("v1"); f.now = f.now.Add(f.life.window() - time.Second) },
		"another router knows another one": func(f *fixture) {
			f.MergeStatement(Statement{Versions: []SeenVersion{{Service: "s", Version: "v2"}}}, f.now, f.now)
		},
		"the list is older than the router": func(f *fixture) { f.view.age = time.Millisecond; f.startedAt = f.now },
		"the list is old":                   func(f *fixture) { f.view.age = maxListAge + time.Millisecond },
		"another router doesn't record":     func(f *fixture) { f.view.peer.Current = false },
		"the router started a moment ago": func(f *fixture) {
			f.history.sinceFounding = false
			f.history.watchedSince = f.now.Add(time.Second - f.life.window())
		},
		"nothing is listed": func(f *fixture) { f.list(); f.now = f.now.Add(f.life.window()) },
		"all are heard, but the list is older than the router": func(f *fixture) {
			f.view.age, f.view.peer.HeardAt, f.view.peer.Newest, f.startedAt = time.Second, f.now, 1, f.now.Add(-time.Millisecond)
		},
		"a peer is silent and the list old":   func(f *fixture) { f.view.age = time.Minute; f.view.peer.HeardAt = f.now.Add(-maxListAge - time.Second) },
		"a peer has a newer list, own is old": func(f *fixture) { f.view.age, f.view.peer.HeardAt, f.view.peer.Newest = time.Minute, f.now, 2 },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			f.list("v1")
			change(f)
			require.Equal(t, unknown, f.find(""))
			require.Equal(t, unknown, f.find("r"))
		})
	}
}

// Guards against streams that can't be resumed during an outage of the store: the list is old, and
// all other routers were heard of all the while and know nothing newer.
func TestSoleVersionIsCertainWhileAllPeersAreHeard(t *testing.T) {
	f := newFixture()
	f.list("v1")
	f.view.peer.Newest = 1
	f.outage(time.Minute, true)
	require.Equal(t, bound("v1", SoleVersion), f.find(""))
}

// Guards against a router that was cut off while a version came, began streams and left, and that takes
// the one on its list for the sole one since the fleet was founded.
func TestVersionsThatCameAndWentUnseenAreReckonedWith(t *testing.T) {
	f := newFixture()
	f.list("v1")
	f.Observe(f.now)
	f.outage(openAfter-time.Second, false)
	f.view.age = 0
	require.Equal(t, bound("v1", SoleVersion), f.find(""), "nothing can have opened meanwhile")
	f.outage(openAfter, false)
	f.view.age = 0
	require.Equal(t, unknown, f.find(""))
	s := Statement{SinceFounding: true, Versions: []SeenVersion{{Service: "s", Version: "v1"}}, CurrentAgeMs: openAfter.Milliseconds()}
	f.MergeStatement(s, f.now, f.now)
	require.Equal(t, unknown, f.find(""), "the other router was cut off as well")
	s.CurrentAgeMs = 0
	f.MergeStatement(s, f.now, f.now)
	require.Equal(t, bound("v1", SoleVersion), f.find(""), "another router has seen all")
}

// Guards against a version that is resumed as the sole one long after it left, and against one that is
// remembered for ever.
func TestVersionsAreForgottenAfterTheirStreams(t *testing.T) {
	f := newFixture()
	f.list("v1", "v2")
	f.list("v2")
	f.now = f.now.Add(f.life.window())
	require.Equal(t, bound("v2", SoleVersion), f.find("r"))
}

// Guards against streams that begin at a new version while another router may take the old one for the
// only one.
func TestNewVersionsOpenOnceAllRoutersKnowThem(t *testing.T) {
	f := newFixture()
	f.list("v1")
	require.True(t, f.Open(f.instance("v1"), f.now))
	f.view.rev, f.view.peer.Floor = 7, 6
	f.list("v1", "v2")
	require.True(t, f.Open(f.instance("v1"), f.now), "it was open before")
	require.False(t, f.Open(f.instance("v2"), f.now))
	f.now = f.now.Add(viewInterval)
	f.view.peer.Floor, f.view.peer.Complete = 7, false
	require.False(t, f.Open(f.instance("v2"), f.now), "a router is silent")
	f.now = f.now.Add(viewInterval)
	f.view.peer.Complete = true
	require.True(t, f.Open(f.instance("v2"), f.now))
	require.True(t, f.AllOpen())
}

func TestNewVersionsOpenAfterAWhileWithoutWordOfAll(t *testing.T) {
	f := newFixture()
	f.list("v1")
	f.view.peer.Complete = false
	f.list("v1", "v2")
	f.now = f.now.Add(openAfter - time.Millisecond)
	require.False(t, f.Open(f.instance("v2"), f.now))
	f.now = f.now.Add(viewInterval)
	require.True(t, f.Open(f.instance("v2"), f.now))
}

// Guards against engines that idle because no version of their service is open.
func TestTheOnlyVersionIsOpenAtOnce(t *testing.T) {
	f := newFixture()
	f.view.peer.Complete = false
	f.list("v2")
	require.True(t, f.Open(f.instance("v2"), f.now))
}

// Guards against a version that begins streams while another router takes the one whose place it took
// for the sole one.
func TestAVersionThatReplacesAnotherOneWaitsLikeOneBesideIt(t *testing.T) {
	f := newFixture()
	f.list("v1")
	f.view.peer.Complete = false
	f.list("v2")
	require.False(t, f.Open(f.instance("v2"), f.now))
	f.now = f.now.Add(openAfter)
	require.True(t, f.Open(f.instance("v2"), f.now))
}

// Guards against streams that began before a second version came, of which other routers never hear.
func TestEarlierStreamsAreToldOnceThereAreSeveralVersions(t *testing.T) {
	f := newFixture()
	f.list("v1")
	f.Begin("o", "early", f.instance("v1"), f.now)
	require.Empty(t, f.TakeRecords(f.now))
	f.list("v1", "v2")
	early := Record{Key: KeyOf("o", "early"), Version: VersionIDOf("s", "v1")}
	require.Equal(t, []Record{early}, f.TakeRecords(f.now))
	f.Begin("o", "late", f.instance("v2"), f.now)
	late := Record{Key: KeyOf("o", "late"), Version: VersionIDOf("s", "v2")}
	require.Equal(t, []Record{late}, f.TakeRecords(f.now))
	require.Empty(t, f.TakeRecords(f.now))

	other := newFixture()
	other.list("v1", "v2")
	other.Merge([]Record{early, late}, other.now)
	require.Equal(t, bound("v1", OthersRecord), other.find("early"))
	require.Equal(t, bound("v2", OthersRecord), other.find("late"))
	require.Equal(t, Reply{Version: early.Version, Recorded: true}, other.Reply(Question{Key: early.Key, Service: "s"}, other.now))
}

// Guards against an answer that tells an organisation of another one's attempts, and against one
// attempt that stands for two streams.
func TestRecordsBelongToOneStreamOfOneOrganisation(t *testing.T) {
	f := newFixture()
	f.list("v1", "v2")
	f.Begin("o2", "r", f.instance("v1"), f.now)
	require.Equal(t, unknown, f.find("r"))
	f.Begin("o", "twice", f.instance("v1"), f.now)
	f.Begin("o", "twice", f.instance("v2"), f.now)
	require.Equal(t, unknown, f.find("twice"))
}

func TestOthersAreAskedForWhatIsNotKnown(t *testing.T) {
	f := newFixture()
	f.list("v1", "v2")
	f.reply = Reply{Version: VersionIDOf("s", "v2"), Recorded: true}
	require.Equal(t, bound("v2", AskedRecord), f.find("r"))
	f.reply.Recorded = false
	require.Equal(t, bound("v2", AskedSole), f.find("r"))
	f.reply = Reply{Version: VersionIDOf("t", "v2"), Recorded: true}
	require.Equal(t, Binding{Service: "s", Source: Elsewhere}, f.find("r"))
	f.reply = Reply{}
	require.Equal(t, unknown, f.find("r"))
}

// Guards against a version that never ages, as routers tell each other of it in turn, and against a
// watch that grows by being told.
func TestStatementsDontGrowByBeingTold(t *testing.T) {
	a, b := newFixture(), newFixture()
	a.history.sinceFounding, b.history.sinceFounding = false, false
	a.list("v1", "v2")
	a.list("v1")
	b.list("v1")
	start := a.now
	for range 100 {
		sent, arrived := a.now, a.now.Add(100*time.Millisecond)
		s, _ := a.Statement(sent)
		b.MergeStatement(s, sent, arrived)
		back, _ := b.Statement(arrived)
		a.now = arrived.Add(100 * time.Millisecond)
		a.MergeStatement(back, arrived, a.now)
	}
	s, _ := a.Statement(a.now)
	require.LessOrEqual(t, s.WatchedMs, a.now.Sub(start).Milliseconds())
	a.now = start.Add(a.life.window())
	require.Equal(t, bound("v1", SoleVersion), a.find(""))
}

func TestRecordsEndWithTheirStreams(t *testing.T) {
	l := ledger{life: new(streamLife)}
	l.life.learn(0, true)
	now := time.Unix(1000, 0)
	l.add(Record{Key: 1, Version: 1}, now)
	_, ok := l.lookup(1, now.Add(minStreamLife-time.Millisecond))
	require.True(t, ok)
	l.add(Record{Key: 2, Version: 1}, now.Add(minStreamLife-time.Millisecond))
	_, ok = l.lookup(1, now.Add(2*minStreamLife))
	require.False(t, ok)
	_, ok = l.lookup(2, now.Add(time.Hour))
	require.False(t, ok)
	require.Zero(t, l.size())
}

// Guards against streams that break off near the end of a release though the last upstreams of their
// version still serve, and against requests that reach an upstream after its time.
func TestStreamsGoOnAtUpstreamsThatLeave(t *testing.T) {
	f := newFixture()
	f.SetLeaveLimit(2 * time.Second)
	in := upstream.Instance{ID: "a", Service: "s", Software: "v1", State: upstream.Ready}
	list := func(known time.Duration) {
		f.SetUpstreams(upstream.NewSet([]upstream.Instance{in}), f.now.Add(-known), f.now)
	}
	list(0)
	in.State = upstream.Draining
	list(time.Second)
	require.True(t, f.MayGoOn(&in, f.now))
	list(0)
	f.now = f.now.Add(time.Second - leaveMargin)
	require.False(t, f.MayGoOn(&in, f.now), "it may have left right after it was last known to be ready")

	f = newFixture()
	f.SetLeaveLimit(2 * time.Second)
	list(0)
	require.False(t, f.MayGoOn(&in, f.now), "it isn't known when it left")
}

// Guards against routes with long timeouts: a stream that began at a version which left a minute ago went
// on at the one that was sole since.
func TestLongStreamsAreRememberedForTheirRoutesTimeout(t *testing.T) {
	const timeout = 2 * time.Minute
	f := newFixture()
	f.view.longest = timeout
	f.list("v1", "v2")
	f.Begin("o", "r", f.instance("v1"), f.now)
	f.TakeRecords(f.now)
	f.list("v2")
	f.view.longest = time.Second
	f.now = f.now.Add(triesFactor*timeout - time.Second)
	require.Equal(t, unknown, f.find("other"))
	require.Equal(t, bound("v1", OwnRecord), f.find("r"))
}
