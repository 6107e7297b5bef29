package marks

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/flamingowind/flamingowind/pkg/platform"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

func upstreamList(generation uint64, state platform.HostState) platform.HostList {
	return platform.HostList{Generation: generation, Hosts: []platform.Host{{Name: "e1", Kind: platform.HostUpstream, State: state}}}
}

// Guards against an outdated mark, sent by a router that was cut off, that replaces a newer one: a
// leaving engine would get work again while its host shuts down, and callers would see their
// responses cut off.
func TestAnOldMarkDoesNotBringALeavingUpstreamBack(t *testing.T) {
	s := NewStore(func(wire.UpstreamMark) {})
	s.ApplyHostList(upstreamList(7, platform.HostLeaving))
	s.MergeMarks("r2", []wire.UpstreamMark{{Upstream: "e1", Generation: 6}})
	if !s.Leaving("e1") {
		t.Fatal("an older mark replaced a newer one")
	}
	s.ApplyHostList(upstreamList(8, platform.HostLive))
	if s.Leaving("e1") {
		t.Fatal("the mark of the newer list was ignored")
	}
}

// Marks arrive from several peers, late and more than once: the result must not depend on their
// order.
func TestMergeIgnoresOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		marks := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) wire.UpstreamMark {
			g := rapid.Uint64Range(1, 9).Draw(t, "generation")
			return wire.UpstreamMark{Upstream: "e1", Generation: g, Leaving: g%2 == 0}
		}), 1, 12).Draw(t, "marks")
		a, b := NewStore(func(wire.UpstreamMark) {}), NewStore(func(wire.UpstreamMark) {})
		a.MergeMarks("r1", marks)
		b.MergeMarks("r2", rapid.Permutation(marks).Draw(t, "shuffled"))
		if a.Leaving("e1") != b.Leaving("e1") {
			t.Fatal("merging the same marks in two orders gave different results")
		}
	})
}
