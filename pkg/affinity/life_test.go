package affinity

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// longTimeout is the timeout of streams that may be resumed for longer than the least time.
const longTimeout = 110 * time.Second

// unconfigured returns a router that starts now, on its own, and has no configuration yet.
func (f *fixture) unconfigured() *fixture {
	next := newFixture()
	next.now, next.startedAt, next.history.sinceFounding, next.view.unconfigured = f.now, f.now, false, true
	return next
}

// configure gives a router the configuration.
func (f *fixture) configure(timeout time.Duration) {
	f.view.unconfigured, f.view.longest = false, timeout
}

// Guards against streams that are refused after a kill of all routers as they began long ago: routers that start read the
// records before the configuration that says how long streams may be resumed.
func TestRecordsReadBeforeTheConfigurationAreJudgedByIt(t *testing.T) {
	for _, c := range []struct {
		age, timeout time.Duration
		known        bool
	}{
		{5 * time.Second, 12 * time.Second, true}, {34 * time.Second, 12 * time.Second, true}, {36 * time.Second, 12 * time.Second, false},
		{36 * time.Second, longTimeout, true}, {60 * time.Second, longTimeout, true}, {200 * time.Second, longTimeout, true}, {226 * time.Second, longTimeout, false},
	} {
		t.Run(fmt.Sprintf("%v old, timeout of %v", c.age, c.timeout), func(t *testing.T) {
			f := newFixture()
			f.configure(c.timeout)
			f.list("1", "2")
			f.batches(t)
			f.Begin("o", "r", f.instance("1"), f.now)
			rows := f.batches(t)
			f.now = f.now.Add(c.age)
			again := f.unconfigured()
			again.RequireRecords()
			_, err := again.MergeBatch(rows[0], again.reading(), again.now)
			require.NoError(t, err)
			again.RecordsTried(true)
			again.list("1", "2")
			again.configure(c.timeout)
			want := unknown
			if c.known {
				want = bound("1", StoredRecord)
			}
			require.Equal(t, want, again.find("r"))
		})
	}
}

// Guards against streams that are refused as the limit of their route was raised after they began.
func TestRecordsLastForALimitThatWasRaised(t *testing.T) {
	f := newFixture()
	f.configure(12 * time.Second)
	f.list("1", "2")
	f.batches(t)
	f.Begin("o", "r", f.instance("1"), f.now)
	rows := f.batches(t)
	f.now = f.now.Add(20 * time.Second)
	f.configure(longTimeout)
	f.now = f.now.Add(40 * time.Second)
	require.Equal(t, bound("1", OwnRecord), f.find("r"))
	again := f.unconfigured()
	_, err := again.MergeBatch(rows[0], again.reading(), again.now)
	require.NoError(t, err)
	again.list("1", "2")
	again.configure(longTimeout)
	require.Equal(t, bound("1", StoredRecord), again.find("r"))
}

// Guards against records of other routers that are dropped before it is known how long they are needed.
func TestRecordsOfOthersLastUntilTheConfigurationComes(t *testing.T) {
	f := newFixture().unconfigured()
	f.Merge([]Record{{Key: KeyOf("o", "r"), Version: VersionIDOf("s", "1")}}, f.now)
	f.now = f.now.Add(60 * time.Second)
	f.Merge([]Record{{Key: KeyOf("o", "later"), Version: VersionIDOf("s", "1")}}, f.now)
	f.list("1", "2")
	f.configure(longTimeout)
	require.Equal(t, bound("1", OthersRecord), f.find("r"))
}

// Guards against a stream that goes on at another version: a router that starts learns before its configuration of a version
// that has left, and takes another one for the sole one after it.
func TestVersionsThatLeftAreKnownOnceTheConfigurationComes(t *testing.T) {
	for name, learn := range map[string]func(f *fixture, left time.Duration){
		"from a peer": func(f *fixture, left time.Duration) {
			f.MergeStatement(Statement{SinceFounding: true, Versions: []SeenVersion{
				{Service: "s", Version: "1", AgeMs: left.Milliseconds()}, {Service: "s", Version: "2", Open: true}}}, f.now, f.now)
		},
		"from the register": func(f *fixture, left time.Duration) {
			rd := f.reading()
			f.TakeRegister(&Register{AsOfMs: rd.Clock.Milliseconds() - 1, SinceFounding: true, Versions: []RegisteredVersion{
				{Service: "s", Version: "1", LastMs: (rd.Clock - left).Milliseconds()}, {Service: "s", Version: "2", LastMs: rd.Clock.Milliseconds()}}}, rd, f.now)
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture().unconfigured()
			f.list("2")
			learn(f, 60*time.Second)
			f.now = f.now.Add(time.Second)
			f.list("2")
			f.configure(longTimeout)
			require.Equal(t, unknown, f.find(""))
			for range (2*longTimeout + openAfter) / time.Second {
				f.now = f.now.Add(time.Second)
				f.Observe(f.now)
			}
			f.list("2")
			require.Equal(t, bound("2", SoleVersion), f.find(""))
		})
	}
}

// Guards against versions that are dropped from the store's register before it is known how long they matter.
func TestVersionsStayRegisteredUntilTheConfigurationComes(t *testing.T) {
	f := newFixture().unconfigured()
	f.MarkFounded()
	f.RequireRegister()
	f.list("2")
	rd := f.reading()
	last := &Register{Versions: []RegisteredVersion{{Service: "s", Version: "1", LastMs: (rd.Clock - 60*time.Second).Milliseconds()}}}
	f.view.peer.Register = true
	next := f.NextRegister(last, rd, f.now)
	var names []string
	for _, v := range next.Versions {
		names = append(names, v.Version)
	}
	require.Equal(t, []string{"2", "1"}, names)
}
