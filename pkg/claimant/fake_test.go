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

// fleet is a fake of all that surrounds one claimant.
type fleet struct {
	t        testing.TB
	claimant *Claimant

	mu      sync.Mutex
	cells   []wire.CellID
	keepers map[wire.CellID]wire.RouterID
	down    map[string]bool
	sent    map[wire.RouterID]*wire.Frame
}

func (f *fleet) Cells(p string) []wire.CellID {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p != pool {
		return nil
	}
	return slices.Clone(f.cells)
}

func (f *fleet) Keeper(c wire.CellID) (wire.RouterID, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	k, ok := f.keepers[c]
	return k, ok
}

func (f *fleet) UpstreamURL(name string) (string, bool) { return "http://" + name, name != "gone" }

func (f *fleet) Usable(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.down[name]
}

func (f *fleet) Send(to wire.RouterID, add func(*wire.Frame)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.sent[to] == nil {
		f.sent[to] = new(wire.Frame)
	}
	add(f.sent[to])
}

// take waits until nothing moves and returns what was sent to a router since last time.
func (f *fleet) take(to wire.RouterID) wire.Frame {
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

func (f *fleet) setKeeper(c wire.CellID, k wire.RouterID) {
	f.mu.Lock()
	f.keepers[c] = k
	f.mu.Unlock()
	f.claimant.KeepersChanged()
}

func (f *fleet) setDown(name string) {
	f.mu.Lock()
	f.down[name] = true
	f.mu.Unlock()
}

// claim takes the single claim that was sent to a router.
func (f *fleet) claim(to wire.RouterID) wire.Claim {
	f.t.Helper()
	claims := f.take(to).Claims
	if len(claims) != 1 {
		f.t.Fatalf("%d claims at %s, want 1", len(claims), to)
	}
	return claims[0]
}

func (f *fleet) grant(from wire.RouterID, c wire.Claim, upstream string, echo uint64) {
	f.claimant.HandleGrant(from, wire.Grant{
		ID: c.ID, Cell: c.Cell, Upstream: upstream, TTLMs: uint32(ttl.Milliseconds()), EchoSeq: echo,
	})
}

// result is the end of one Acquire.
type result struct {
	slot sched.Slot
	err  error
}

func (f *fleet) acquire(ctx context.Context, r sched.Request) <-chan result {
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

// request is one with a deadline in a minute.
func request(org string) sched.Request {
	return sched.Request{Org: org, Pool: pool, Deadline: time.Now().Add(time.Minute)}
}

// mustSlot takes a slot that must be there already.
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

// mustFail takes an error that must be there already; it must be NotRun.
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
func (f *fleet) done(to wire.RouterID, id wire.ClaimID, want wire.Outcome) wire.Done {
	f.t.Helper()
	dones := f.take(to).Dones
	if len(dones) != 1 || dones[0].ID != id || dones[0].Outcome != want {
		f.t.Fatalf("dones at %s: %+v, want one of claim %d with outcome %d", to, dones, id, want)
	}
	return dones[0]
}

// run runs a test in a bubble of fake time with a claimant whose pool has one cell,
// kept by k1.
func run(t *testing.T, o Options, test func(t *testing.T, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, o)
		ctx, cancel := context.WithCancel(t.Context())
		stopped := make(chan struct{})
		duty := f.claimant
		go func() {
			duty.Run(ctx)
			close(stopped)
		}()
		test(t, f)
		cancel()
		<-stopped
	})
}

func newFleet(t testing.TB, o Options) *fleet {
	f := &fleet{
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
func (f *fleet) addCellB() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cells = append(f.cells, cellB)
	f.keepers[cellB] = "k2"
}

// pass lets fake time go by.
func pass(d time.Duration) { <-time.After(d) }
