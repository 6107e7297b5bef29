package gatewayd

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/internal/patience"
	"github.com/flamingowind/flamingowind/internal/waiting"
	"github.com/flamingowind/flamingowind/pkg/affinity"
	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// versionTable is a store with the register alone.
type versionTable struct {
	mu      sync.Mutex
	value   []byte
	version int64
	began   time.Time
	// slow is how long an answer takes.
	slow  time.Duration
	reads int
}

func (s *versionTable) Era() int64 { return 1 }

func (s *versionTable) answerTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.slow
}

func (s *versionTable) setAnswerTime(slow time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = slow
}

func (s *versionTable) readCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

func (s *versionTable) ReadVersions(ctx context.Context) (affinity.StoredRow, error) {
	if waiting.For(ctx, s.answerTime()); ctx.Err() != nil {
		return affinity.StoredRow{}, ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	return affinity.StoredRow{Value: s.value, Version: s.version, Clock: 10*time.Hour + time.Since(s.began), Era: 1}, nil
}

func (s *versionTable) WriteVersions(ctx context.Context, value []byte, version int64) (int64, error) {
	if waiting.For(ctx, s.answerTime()); ctx.Err() != nil {
		return 0, ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if version != s.version {
		return 0, affinity.ErrRowChanged
	}
	s.value, s.version = value, version+1
	return 1, nil
}

// start starts a router, which ends with the test. Its list comes after a time.
func (s *versionTable) start(t *testing.T, firstStart bool, listAfter time.Duration, versions ...string) *affinity.Tracker {
	quiet := &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}
	tracker := affinity.NewTracker(aloneView{}, func(context.Context, affinity.Question) affinity.Reply { return affinity.Reply{} }, time.Now(), quiet)
	tracker.RequireRegister()
	if firstStart {
		tracker.MarkFounded()
	}
	k := &versionKeeper{store: s, tracker: tracker, ranking: onlyRouter{}, log: quiet, limit: patience.NewLimit(maxStoreTimeout)}
	go k.run(t.Context(), firstStart)
	time.Sleep(listAfter)
	var list []upstream.Instance
	for _, v := range versions {
		list = append(list, upstream.Instance{ID: upstream.ID(v), Service: "s", Software: v, State: upstream.Ready})
	}
	tracker.ExpectUpstreams(upstream.NewSet(list), time.Now())
	tracker.SetUpstreams(upstream.NewSet(list), time.Now(), time.Now())
	return tracker
}

// Guards against software versions that streams don't begin at for half a minute, as the register's read and its write
// together, or one of them, take longer than a call may at first.
func TestVersionsAreRegisteredInASlowStore(t *testing.T) {
	for _, slow := range []time.Duration{400 * time.Millisecond, 800 * time.Millisecond, 1600 * time.Millisecond, 4 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			table := &versionTable{began: time.Now(), slow: slow}
			tracker := table.start(t, true, 0, "1", "2")
			time.Sleep(7 * slow)
			for _, v := range []string{"1", "2"} {
				require.True(t, tracker.Open(&upstream.Instance{Service: "s", Software: v}, time.Now()), "answers take %v", slow)
			}
		})
	}
}

// Guards against routers that start again and wait for one answer of a slow store after the other: the register is read beside
// the list of upstreams.
func TestTheRegisterIsReadBesideTheFirstList(t *testing.T) {
	for _, versions := range [][]string{{"1"}, {"1", "2"}} {
		synctest.Test(t, func(t *testing.T) {
			table := &versionTable{began: time.Now()}
			first := table.start(t, true, 0, versions...)
			time.Sleep(time.Second)
			require.True(t, first.Open(&upstream.Instance{Service: "s", Software: "1"}, time.Now()))
			const slow = 300 * time.Millisecond
			table.setAnswerTime(slow)
			again := table.start(t, false, slow, versions...)
			time.Sleep(versionsWaitInterval)
			require.True(t, again.Settled())
			for _, v := range versions {
				require.True(t, again.Open(&upstream.Instance{Service: "s", Software: v}, time.Now()), v)
			}
		})
	}
}

// Guards against a register of too long ago that a router takes for that of its first list: a version may have come and gone
// between them.
func TestTheRegisterIsReadAgainIfTheFirstListIsLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &versionTable{began: time.Now()}
		table.start(t, true, 0, "1")
		time.Sleep(time.Second)
		reads := table.readCount()
		table.start(t, false, maxEarlyRead, "1")
		time.Sleep(versionsWaitInterval)
		require.Equal(t, reads+2, table.readCount())
	})
}
