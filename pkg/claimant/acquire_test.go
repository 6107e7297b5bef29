package claimant

import (
	"testing"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

func TestGrantReachesItsCaller(t *testing.T) {
	run(t, Options{}, func(t *testing.T, f *fakeFleet) {
		done := f.acquire(t.Context(), request("acme"))
		claim := f.claim("k1")
		f.grant("k1", claim, "u1", 0)
		s := mustSlot(t, done)
		check(t, s.Upstream() == "u1" && s.URL() == "http://u1" && s.Start(), "slot on %s at %s; want u1 at http://u1, started", s.Upstream(), s.URL())
		s.Progress(7)
		s.Done(wire.OutcomeServed, 12, 0, 0)
		s.Done(wire.OutcomeFailed, 99, 0, 0)
		if d := f.done("k1", claim.ID, wire.OutcomeServed); d.Cost != 12 || d.Upstream != "u1" {
			t.Fatalf("done %+v, want cost 12 on u1", d)
		}
	})
}
