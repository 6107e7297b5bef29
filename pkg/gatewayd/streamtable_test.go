package gatewayd

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/uber-go/tally/v4"

	"github.com/flamingowind/flamingowind/internal/patience"
	"github.com/flamingowind/flamingowind/internal/waiting"
	"github.com/flamingowind/flamingowind/pkg/affinity"
	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// streamTable is a store with the rows of records alone.
type streamTable struct {
	mu    sync.Mutex
	rows  map[string][]byte
	began time.Time
	// clockSet is by how much the clock was set.
	clockSet      time.Duration
	era           int64
	reads, writes int
	// slow is how long an answer takes.
	slow time.Duration
	// refuse is what all calls end with; nil for none.
	refuse error
}

func newStreamTable() *streamTable {
	return &streamTable{rows: make(map[string][]byte), began: time.Now(), era: 1}
}

func (s *streamTable) clock() time.Duration { return 10*time.Hour + s.clockSet + time.Since(s.began) }

func (s *streamTable) ReadStreams(ctx context.Context, visit func([]affinity.BatchRow, time.Duration)) error {
	if waiting.For(ctx, s.slow); ctx.Err() != nil {
		return ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.refuse != nil {
		return s.refuse
	}
	var rows []affinity.BatchRow
	for key, value := range s.rows {
		rows = append(rows, affinity.BatchRow{Key: key, Value: value})
	}
	visit(rows, s.clock())
	return nil
}

func (s *streamTable) WriteStreams(ctx context.Context, add []affinity.BatchRow, remove []string) (time.Duration, error) {
	if waiting.For(ctx, s.slow); ctx.Err() != nil {
		return 0, ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	if s.refuse != nil {
		return 0, s.refuse
	}
	for _, row := range add {
		s.rows[row.Key] = row.Value
	}
	for _, key := range remove {
		delete(s.rows, key)
	}
	return s.clock(), nil
}

func (s *streamTable) Era() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// set changes the table under its lock.
func (s *streamTable) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// counts returns the calls so far, and the rows.
func (s *streamTable) counts() (reads, writes, rows int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads, s.writes, len(s.rows)
}

// aloneView is the view of a router that has no peers, with a list that is always current.
type aloneView struct{}

func (aloneView) ListRevision() int64                  { return 1 }
func (aloneView) ListAge(time.Time) time.Duration      { return 0 }
func (aloneView) LongestStream() (time.Duration, bool) { return 15 * time.Second, true }
func (aloneView) Peers(now time.Time) affinity.PeerView {
	return affinity.PeerView{Floor: math.MaxInt64, Complete: true, Current: true, Register: true, HeardAt: now}
}

// keepingRouter is a router that lists engines of some versions and keeps records of streams.
type keepingRouter struct {
	*affinity.Tracker
	end     context.CancelFunc
	running sync.WaitGroup
}

// firstOfMany is the ranking of the first router of a large fleet.
type firstOfMany struct{}

func (firstOfMany) Rank() int  { return 0 }
func (firstOfMany) Count() int { return 200 }

func (s *streamTable) router(versions ...string) *keepingRouter {
	return s.routerOf(onlyRouter{}, versions...)
}

func (s *streamTable) routerOf(fleet ranking, versions ...string) *keepingRouter {
	return s.routerWith(aloneView{}, fleet, versions...)
}

// lateView is the view of a router whose configuration comes at a time.
type lateView struct {
	aloneView
	timeout    time.Duration
	configured time.Time
}

func (v lateView) LongestStream() (time.Duration, bool) {
	return v.timeout, !time.Now().Before(v.configured)
}

func (s *streamTable) routerWith(view affinity.View, fleet ranking, versions ...string) *keepingRouter {
	quiet := &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}
	r := &keepingRouter{Tracker: affinity.NewTracker(view, func(context.Context, affinity.Question) affinity.Reply { return affinity.Reply{} }, time.Now(), quiet)}
	r.RequireRecords()
	var ctx context.Context
	ctx, r.end = context.WithCancel(context.Background())
	k := newStreamKeeper(s, r.Tracker, fleet, func() bool { return true }, patience.NewLimit(maxStoreTimeout), quiet, tally.NoopScope)
	r.running.Go(func() { k.run(ctx) })
	r.list(versions...)
	time.Sleep(time.Second)
	return r
}

func (r *keepingRouter) list(versions ...string) {
	var list []upstream.Instance
	for _, v := range versions {
		list = append(list, upstream.Instance{ID: upstream.ID(v), Service: "s", Software: v, State: upstream.Ready})
	}
	r.SetUpstreams(upstream.NewSet(list), time.Now(), time.Now())
}

func (r *keepingRouter) begin(id, version string) {
	r.Begin("o", id, &upstream.Instance{Service: "s", Software: version}, time.Now())
}

func (r *keepingRouter) find(id string) (string, affinity.Source) {
	b, _ := r.Find(context.Background(), affinity.Query{Organisation: "o", FirstAttempt: id, Services: []string{"s"}, Service: "s"}, time.Now())
	return b.Version, b.Source
}

// kill ends the router.
func (r *keepingRouter) kill() {
	r.end()
	r.running.Wait()
}
