package member

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// Bounds of what one message carries.
const (
	maxGossip = 12 // changed members
	maxSync   = 48 // members of a list that is sent whole
	tellSelf  = 3  // messages to each peer with a changed own record
)

// Patience with differing digests.
const (
	syncAfter = 3  // messages in a row with another digest
	syncRest  = 10 // more messages after a list was sent whole
)

// syncState is how far the whole list has been sent to one peer.
type syncState struct {
	running bool
	after   wire.RouterID // last ID sent
	differs int           // messages in a row with another digest
}

// retransmits is how often a change is passed on: enough to reach all of n members
// with high probability when each router passes it on at random.
func (r *Roster) retransmits() int {
	return 3 * bits.Len(uint(len(r.entries)+1))
}

// gossipFor chooses the records for a message to e, nil when the peer isn't known yet.
func (r *Roster) gossipFor(e *entry) []wire.Member {
	var list []wire.Member
	if r.mustTellSelf(e) {
		list = append(list, r.self)
	}
	if e != nil {
		list = append(list, aboutPeer(e)...)
		list = append(list, r.syncChunk(e)...)
	}
	return append(list, r.changes(e)...)
}

func (r *Roster) mustTellSelf(e *entry) bool {
	if e == nil {
		return true
	}
	if e.toldSeq != r.selfSeq {
		e.told, e.toldSeq = 0, r.selfSeq
	}
	e.told++
	return e.told <= tellSelf
}

// aboutPeer tells a member what is claimed of it, so that it can refute it.
func aboutPeer(e *entry) []wire.Member {
	if e.accused.ID != "" {
		return []wire.Member{e.accused}
	}
	if !e.up() || e.outdated {
		e.outdated = false
		return []wire.Member{e.Member}
	}
	return nil
}

// changes takes the records that were passed on least so far.
func (r *Roster) changes(to *entry) []wire.Member {
	var fresh []*entry
	for _, e := range r.entries {
		if e.sends > 0 && e != to {
			fresh = append(fresh, e)
		}
	}
	slices.SortFunc(fresh, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(b.sends, a.sends), cmp.Compare(a.ID, b.ID))
	})
	var list []wire.Member
	for _, e := range fresh[:min(len(fresh), maxGossip)] {
		e.sends--
		list = append(list, e.Member)
	}
	return list
}

// syncChunk gives the next part of the whole list for a peer that lacks something.
func (r *Roster) syncChunk(e *entry) []wire.Member {
	if !e.sync.running {
		return nil
	}
	ids := make([]wire.RouterID, 0, len(r.entries))
	for id, other := range r.entries {
		gone := other.State == wire.MemberDead && other.left
		if id > e.sync.after && id != e.ID && !gone {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	if len(ids) <= maxSync {
		e.sync = syncState{differs: -syncRest}
	} else {
		ids = ids[:maxSync]
		e.sync.after = ids[len(ids)-1]
	}
	list := make([]wire.Member, len(ids))
	for i, id := range ids {
		list[i] = r.entries[id].Member
	}
	return list
}

// compareDigest starts to send the whole list to a peer whose list stays another one.
//
// Guard: gossip is passed on a bounded number of times, so a router that was cut off, or
// unlucky, may miss a change for good and choose other keepers than the rest. Digests
// show it within a few heartbeats. A peer without any contact before gets the list at
// once: it has just started, or a partition has just healed.
func (r *Roster) compareDigest(e *entry, digest uint64, first bool) {
	if digest == r.digest() {
		e.sync.differs = min(e.sync.differs, 0)
		return
	}
	e.sync.differs++
	if !e.sync.running && (first || e.sync.differs >= syncAfter) {
		e.sync = syncState{running: true}
		e.told = 0
	}
}

// digest sums up the members that aren't dead. Suspicion is left out: it passes.
func (r *Roster) digest() uint64 {
	if !r.summed {
		r.sum, r.summed = r.sumMembers(), true
	}
	return r.sum
}

func (r *Roster) sumMembers() uint64 {
	sum := memberHash(r.self.ID, r.self.Incarnation)
	for id, e := range r.entries {
		if e.State != wire.MemberDead {
			sum ^= memberHash(id, e.Incarnation)
		}
	}
	return sum
}

func memberHash(id wire.RouterID, i wire.Incarnation) uint64 {
	return xxhash.Sum64String(string(id)) * (2*uint64(i) + 1)
}

// age gives the time from at to now in whole milliseconds.
func age(now, at time.Time) uint32 {
	return uint32(min(max(now.Sub(at).Milliseconds(), 0), 1<<31))
}
