package keeping

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/flamingowind/flamingowind/pkg/keeper"
	"github.com/flamingowind/flamingowind/pkg/resource"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

const cell = wire.CellID("models/0")

// fakeFleet is the directory and the sender of a Manager under test.
type fakeFleet struct {
	mu     sync.Mutex
	index  *resource.Index
	keeps  bool
	alive  []wire.RouterID
	frames map[wire.RouterID]*wire.Frame
}

func (w *fakeFleet) Index() *resource.Index { w.mu.Lock(); defer w.mu.Unlock(); return w.index }

func (w *fakeFleet) Keeps(wire.CellID) bool { w.mu.Lock(); defer w.mu.Unlock(); return w.keeps }

func (w *fakeFleet) Alive() []wire.RouterID { w.mu.Lock(); defer w.mu.Unlock(); return w.alive }

func (w *fakeFleet) Send(to wire.RouterID, add func(*wire.Frame)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.frames[to] == nil {
		w.frames[to] = new(wire.Frame)
	}
	add(w.frames[to])
}

func (w *fakeFleet) take(to wire.RouterID) wire.Frame {
	synctest.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	f := w.frames[to]
	delete(w.frames, to)
	if f == nil {
		return wire.Frame{}
	}
	return *f
}

func snapshot() *resource.Index {
	return resource.NewIndex(&resource.Snapshot{
		Version:       1,
		Organisations: []resource.Organisation{{Meta: resource.Meta{Name: "a"}}},
		Pools:         []resource.Pool{{Meta: resource.Meta{Name: "models"}, Kind: resource.PoolModel}},
		Upstreams: []resource.Upstream{{
			Meta: resource.Meta{Name: "e1"}, Pool: "models", URL: "http://127.0.0.1:9000", Slots: 1,
		}},
	})
}

// start runs a Manager that keeps the cell; its takeover has ended when start returns.
func start(t *testing.T) (*Manager, *fakeFleet) {
	w := &fakeFleet{index: snapshot(), keeps: true, alive: []wire.RouterID{"r1"}, frames: map[wire.RouterID]*wire.Frame{}}
	d := New(w, w, Options{
		Keeper: keeper.Options{TTL: 2 * time.Second, ReportInterval: 500 * time.Millisecond},
		Log:    &log.Logger{Handler: discard.Default},
	})
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(func() { cancel(); synctest.Wait() })
	go d.Run(ctx)
	<-time.After(2 * time.Second)
	return d, w
}

func claims(ids ...wire.ClaimID) *wire.Frame {
	f := &wire.Frame{Life: 1}
	for _, id := range ids {
		f.Claims = append(f.Claims, wire.Claim{ID: id, Cell: cell, Org: "a", WaitMs: 60_000})
	}
	return f
}

// Two routers briefly disagree about who keeps a cell. A claim that reaches a router that
// doesn't keep the cell must be answered: otherwise the request would wait for the next
// copy while its actual keeper has free slots.
func TestClaimAtTheWrongRouterIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, w := start(t)
		w.mu.Lock()
		w.keeps = false
		w.mu.Unlock()
		d.Changed()
		synctest.Wait()
		d.HandleFrame("r1", claims(1))
		refusals := w.take("r1").Refusals
		if len(refusals) != 1 || refusals[0].Reason != wire.RefusedNotKeeper {
			t.Fatalf("got %+v", refusals)
		}
	})
}

// A router hands over a cell in which claims wait. They must be refused at once, or every
// waiting request would lose the time until its router notices the change by itself.
func TestHandingACellOverRefusesItsWaitingClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, w := start(t)
		d.HandleFrame("r1", claims(1, 2))
		if got := w.take("r1"); len(got.Grants) != 1 {
			t.Fatalf("%d grants of one slot", len(got.Grants))
		}
		w.mu.Lock()
		w.keeps = false
		w.mu.Unlock()
		d.Changed()
		refusals := w.take("r1").Refusals
		if len(refusals) != 1 || refusals[0].ID != 2 || refusals[0].Reason != wire.RefusedLeaving {
			t.Fatalf("got %+v", refusals)
		}
	})
}

// The host list marks an engine as leaving while claims wait. It must get no new work, not
// even when its slot is freed; the mark must also hold for a keeper created later.
func TestAMarkedUpstreamGetsNothingNew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, w := start(t)
		d.HandleFrame("r1", claims(1))
		w.take("r1")
		d.Mark(wire.UpstreamMark{Upstream: "e1", Generation: 3, Leaving: true})
		d.HandleFrame("r1", claims(2))
		d.HandleFrame("r1", &wire.Frame{Life: 1, Dones: []wire.Done{{ID: 1, Cell: cell, Upstream: "e1"}}})
		<-time.After(time.Second)
		got := w.take("r1")
		if len(got.Grants) != 0 || len(got.Refusals) != 1 || got.Refusals[0].Reason != wire.RefusedNoUpstream {
			t.Fatalf("want the claim refused without a usable upstream, got %+v", got)
		}
		d.Mark(wire.UpstreamMark{Upstream: "e1", Generation: 4})
		d.HandleFrame("r1", claims(3))
		if got := w.take("r1").Grants; len(got) != 1 {
			t.Fatalf("%d grants after the upstream came back", len(got))
		}
	})
}
