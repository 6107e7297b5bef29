package claimant

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/flamingowind/flamingowind/pkg/sched"
	"github.com/flamingowind/flamingowind/pkg/verdict"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

const (
	pool  = "chat"
	cellA = wire.CellID("chat/0")
	cellB = wire.CellID("chat/1")
	ttl   = 2 * time.Second
)

// fakeFleet is a fake of everything around one claimant.
type fakeFleet struct {
	t        testing.TB
	claimant *Claimant

	mu      sync.Mutex
	cells   []wire.CellID
	keepers map[wire.CellID]wire.RouterID
	down    map[string]bool
	sent    map[wire.RouterID]*wire.Frame
}

func (f *fakeFleet) Cells(p string) []wire.CellID {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p != pool {
		return nil
	}
	return slices.Clone(f.cells)
}

func (f *fakeFleet) Keeper(c wire.CellID) (wire.RouterID, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	k, ok := f.keepers[c]
	return k, ok
}

func (f *fakeFleet) UpstreamURL(name string) (string, bool) { return "http://" + name, name != "gone" }

func (f *fakeFleet) Usable(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.down[name]
}

func (f *fakeFleet) Send(to wire.RouterID, add func(*wire.Frame)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.sent[to] == nil {
		f.sent[to] = new(wire.Frame)
	}
	add(f.sent[to])
}

// take waits until the goroutines are idle and returns what was sent to a router since the
// last call.
func (f *fakeFleet) take(to wire.RouterID) wire.Frame {
	f.t.Helper()
	synctest.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	frame := f.sent[to]
	delete(f.sent, to)
	if frame == nil {
		return wire.Frame{}
	}
	return *frame
}

func (f *fakeFleet) setKeeper(c wire.CellID, k wire.RouterID) {
	f.mu.Lock()
	f.keepers[c] = k
	f.mu.Unlock()
	f.claimant.KeepersChanged()
}

func (f *fakeFleet) setDown(name string) {
	f.mu.Lock()
	f.down[name] = true
	f.mu.Unlock()
}

// claim returns the single claim that was sent to a router.
func (f *fakeFleet) claim(to wire.RouterID) wire.Claim {
	f.t.Helper()
	claims := f.take(to).Claims
	if len(claims) != 1 {
		f.t.Fatalf("%d claims at %s, want 1", len(claims), to)
	}
	return claims[0]
}

func (f *fakeFleet) grant(from wire.RouterID, c wire.Claim, upstream string, echo uint64) {
	f.claimant.HandleGrant(from, wire.Grant{
		ID: c.ID, Cell: c.Cell, Upstream: upstream, TTLMs: uint32(ttl.Milliseconds()), EchoSeq: echo,
	})
}

// result is the result of one Acquire.
type result struct {
	slot sched.Slot
	err  error
}

func (f *fakeFleet) acquire(ctx context.Context, r sched.Request) <-chan result {
	done := make(chan result, 1)
	if r.Pool == "" {
		r.Pool = pool
	}
	go func() {
		s, err := f.claimant.Acquire(ctx, r)
		done <- result{s, err}
	}()
	return done
}

// request returns a request whose deadline is in a minute.
func request(org string) sched.Request {
	return sched.Request{Org: org, Pool: pool, Deadline: time.Now().Add(time.Minute)}
}

// mustSlot returns the slot, which must be available already.
func mustSlot(t testing.TB, done <-chan result) sched.Slot {
	t.Helper()
	synctest.Wait()
	select {
	case r := <-done:
		if r.err != nil {
			t.Fatalf("no slot: %v", r.err)
		}
		return r.slot
	default:
		t.Fatal("still waiting, want a slot")
		return nil
	}
}

// mustFail returns the error, which must be available already and be NotRun.
func mustFail(t testing.TB, done <-chan result, code verdict.Code) *verdict.Error {
	t.Helper()
	synctest.Wait()
	select {
	case r := <-done:
		if r.err == nil {
			t.Fatalf("got a slot, want %s", code)
		}
		e := verdict.From(r.err)
		if e.Code != code || e.Verdict != verdict.NotRun {
			t.Fatalf("got %v, want %s and not-run", e, code)
		}
		return e
	default:
		t.Fatalf("still waiting, want %s", code)
		return nil
	}
}

func mustWait(t testing.TB, done <-chan result) {
	t.Helper()
	synctest.Wait()
	select {
	case r := <-done:
		t.Fatalf("answered with %v, %v; want waiting", r.slot, r.err)
	default:
	}
}

// check fails the test unless ok.
func check(t testing.TB, ok bool, format string, args ...any) {
	t.Helper()
	if !ok {
		t.Fatalf(format, args...)
	}
}

// done checks that a router got exactly one Done, and returns it.
func (f *fakeFleet) done(to wire.RouterID, id wire.ClaimID, want wire.Outcome) wire.Done {
	f.t.Helper()
	dones := f.take(to).Dones
	if len(dones) != 1 || dones[0].ID != id || dones[0].Outcome != want {
		f.t.Fatalf("dones at %s: %+v, want one of claim %d with outcome %d", to, dones, id, want)
	}
	return dones[0]
}

// run runs a test with fake time and a claimant whose pool has one cell, kept by k1.
func run(t *testing.T, o Options, test func(t *testing.T, f *fakeFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet(t, o)
		ctx, cancel := context.WithCancel(t.Context())
		stopped := make(chan struct{})
		claimant := f.claimant
		go func() {
			claimant.Run(ctx)
			close(stopped)
		}()
		test(t, f)
		cancel()
		<-stopped
	})
}

func newFakeFleet(t testing.TB, o Options) *fakeFleet {
	f := &fakeFleet{
		t:       t,
		cells:   []wire.CellID{cellA},
		keepers: map[wire.CellID]wire.RouterID{cellA: "k1"},
		down:    make(map[string]bool),
		sent:    make(map[wire.RouterID]*wire.Frame),
	}
	f.claimant = New(f, f, o)
	return f
}

// addCellB gives the pool a second cell, kept by k2.
func (f *fakeFleet) addCellB() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cells = append(f.cells, cellB)
	f.keepers[cellB] = "k2"
}

// advance lets fake time pass.
func advance(d time.Duration) { <-time.After(d) }
