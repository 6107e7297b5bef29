package gatewayd

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/affinity"
)

// Guards against streams of several versions that a fleet whose routers were all killed can't take up.
func TestRecordsOfStreamsSurviveARestartOfAllRouters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newStreamTable()
		r := table.router("1")
		r.begin("before", "1")
		time.Sleep(time.Second)
		_, writes, _ := table.counts()
		require.Zero(t, writes, "one version")
		r.list("1", "2")
		r.begin("one", "1")
		r.begin("two", "2")
		time.Sleep(2 * streamsInterval)
		r.kill()
		again := table.router("1", "2")
		defer again.kill()
		for id, want := range map[string]string{"before": "1", "one": "1", "two": "2"} {
			version, source := again.find(id)
			require.Equal(t, want, version, id)
			require.Equal(t, affinity.StoredRecord, source, id)
		}
	})
}

// Guards against streams of long ago that a fleet whose routers were all killed can't take up: it reads, and could remove,
// their records before it has the configuration by which they still matter.
func TestRecordsOfLongStreamsSurviveARestartOfAllRouters(t *testing.T) {
	const timeout = 110 * time.Second
	for _, age := range []time.Duration{5 * time.Second, 34 * time.Second, 36 * time.Second, time.Minute, 200 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			table := newStreamTable()
			r := table.routerWith(lateView{timeout: timeout}, onlyRouter{}, "1", "2")
			r.begin("one", "1")
			time.Sleep(age)
			r.kill()
			again := table.routerWith(lateView{timeout: timeout, configured: time.Now().Add(3 * time.Second)}, onlyRouter{}, "1", "2")
			time.Sleep(3 * time.Second)
			version, source := again.find("one")
			require.Equal(t, "1", version, "%v old", age)
			require.Equal(t, affinity.StoredRecord, source)
			again.kill()
		})
	}
	synctest.Test(t, func(t *testing.T) {
		table := newStreamTable()
		r := table.routerWith(lateView{timeout: timeout}, onlyRouter{}, "1", "2")
		r.begin("one", "1")
		time.Sleep(time.Second)
		r.kill()
		again := table.routerWith(lateView{timeout: timeout, configured: time.Now().Add(time.Hour)}, onlyRouter{}, "1", "2")
		time.Sleep(time.Minute)
		again.kill()
		_, _, rows := table.counts()
		require.Equal(t, 1, rows, "nothing is removed before the configuration has come")
	})
}

// Guards against streams that a fleet whose routers were all killed can't take up, as the store's clock was set: before they began,
// while they ran, or while all routers were away.
func TestRecordsSurviveAClockThatIsSet(t *testing.T) {
	for _, by := range []time.Duration{-time.Hour, -70 * time.Second, 34 * time.Second, 70 * time.Second, time.Hour} {
		for _, moment := range []string{"before", "while they run", "while all are away"} {
			t.Run(fmt.Sprint(moment, ", by ", by), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					table := newStreamTable()
					at := func(now string) {
						if now == moment {
							table.set(func() { table.clockSet += by })
						}
					}
					r := table.router("1", "2")
					time.Sleep(10 * time.Second)
					at("before")
					r.begin("one", "1")
					time.Sleep(time.Second)
					at("while they run")
					r.begin("two", "2")
					time.Sleep(time.Second)
					r.kill()
					at("while all are away")
					time.Sleep(2 * time.Second)
					again := table.router("1", "2")
					defer again.kill()
					for id, want := range map[string]string{"one": "1", "two": "2"} {
						version, source := again.find(id)
						require.Equal(t, want, version, id)
						require.Equal(t, affinity.StoredRecord, source)
					}
				})
			})
		}
	}
}

// Guards against streams that a fleet whose routers were all killed can't take up, as they began together, just before that.
func TestRecordsOfABurstAreWrittenAtOnce(t *testing.T) {
	for phase := range 10 {
		synctest.Test(t, func(t *testing.T) {
			table := newStreamTable()
			r := table.router("1", "2")
			time.Sleep(time.Duration(2*phase+1) * streamsInterval / 20)
			for n := range 40 {
				r.begin(fmt.Sprint(n), "1")
				time.Sleep(4 * time.Millisecond)
			}
			time.Sleep(2 * streamsDelay)
			r.kill()
			again := table.router("1", "2")
			defer again.kill()
			for n := range 40 {
				version, _ := again.find(fmt.Sprint(n))
				require.Equal(t, "1", version, "stream %d, phase %d", n, phase)
			}
		})
	}
}

// Guards against more writes than one in each interval, but for some after a pause, while streams begin all the time.
func TestWritesOfRecordsKeepTheirDistance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newStreamTable()
		r := table.router("1", "2")
		defer r.kill()
		for n := range 1000 {
			r.begin(fmt.Sprint(n), "1")
			time.Sleep(10 * time.Millisecond)
		}
		_, writes, _ := table.counts()
		require.LessOrEqual(t, writes, int(10*time.Second/streamsInterval)+streamsBurst)
	})
}

// Guards against records that a store which came back from a copy lacks.
func TestRecordsAreWrittenAgainAfterACopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newStreamTable()
		r := table.router("1", "2")
		r.begin("one", "1")
		time.Sleep(time.Second)
		table.set(func() { table.rows, table.era = make(map[string][]byte), 2 })
		time.Sleep(time.Second)
		r.kill()
		again := table.router("1", "2")
		defer again.kill()
		version, _ := again.find("one")
		require.Equal(t, "1", version)
	})
}

// Guards against more calls to a store that refuses them, records that are lost meanwhile, and lookups that wait for it.
func TestAStoreThatRefusesRecordsIsCalledSeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newStreamTable()
		r := table.routerOf(firstOfMany{}, "1", "2")
		table.set(func() { table.refuse = errors.New("too many requests") })
		_, before, _ := table.counts()
		for n := range 40 {
			r.begin(fmt.Sprint(n), "1")
			time.Sleep(streamsInterval)
		}
		_, writes, _ := table.counts()
		require.Less(t, writes-before, 10, "in 40 intervals with new records")

		unread := table.router("1", "2")
		require.True(t, unread.Settled(), "a router doesn't wait for the store for good")
		require.True(t, unread.RecordsUnread())
		unread.kill()
		table.set(func() { table.refuse = nil })
		time.Sleep(10 * time.Second)
		r.kill()
		again := table.router("1", "2")
		defer again.kill()
		for n := range 40 {
			version, _ := again.find(fmt.Sprint(n))
			require.Equal(t, "1", version, n)
		}
	})
}

// Guards against streams that a fleet whose routers were all killed can't take up, as the store's answers take longer than a
// call may at first.
func TestRecordsAreKeptInASlowStore(t *testing.T) {
	for _, slow := range []time.Duration{time.Second, 1600 * time.Millisecond, 4 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			table := newStreamTable()
			table.slow = slow
			r := table.router("1", "2")
			time.Sleep(5 * slow)
			r.begin("one", "1")
			time.Sleep(4 * slow)
			_, writes, _ := table.counts()
			require.Equal(t, 1, writes, "written once where answers take %v", slow)
			r.kill()
			again := table.router("1", "2")
			defer again.kill()
			time.Sleep(5 * slow)
			version, _ := again.find("one")
			require.Equal(t, "1", version, "answers take %v", slow)
		})
	}
}

// Guards against rows that stay, and calls that go on, after a release: those of the router, and those of one that was
// killed.
func TestNoRowsAndNoCallsAreLeftAfterARelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newStreamTable()
		killed := table.router("1", "2")
		killed.begin("one", "1")
		time.Sleep(time.Second)
		killed.kill()
		table.set(func() { table.rows["odd"] = []byte("what is this") })
		r := table.router("1", "2")
		defer r.kill()
		for n := range 20 {
			r.begin(fmt.Sprint(n), "2")
			time.Sleep(time.Second)
		}
		_, _, rows := table.counts()
		require.Greater(t, rows, 20)
		r.list("2")
		time.Sleep(3 * r.RowLife())
		reads, writes, rows := table.counts()
		require.Zero(t, rows)
		time.Sleep(time.Hour)
		readsLater, writesLater, _ := table.counts()
		require.Equal(t, []int{reads, writes}, []int{readsLater, writesLater})
	})
}

// Guards against two lives of a router that write over each other's rows.
func TestRowsOfTwoLivesHaveDifferentKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newStreamTable()
		for n := range 2 {
			r := table.router("1", "2")
			r.begin(fmt.Sprint(n), "1")
			time.Sleep(time.Second)
			r.kill()
		}
		_, _, rows := table.counts()
		require.Equal(t, 2, rows)
		var writers []string
		for key := range table.rows {
			writer, _, _ := strings.Cut(key, "-")
			writers = append(writers, writer)
		}
		slices.Sort(writers)
		require.Len(t, slices.Compact(writers), 2)
	})
}
