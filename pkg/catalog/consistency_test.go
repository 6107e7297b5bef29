package catalog

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// history holds the states of a store, by revision.
type history struct {
	states []map[upstream.ID]upstream.Instance
}

func (h *history) newest() Revision { return Revision(len(h.states)) }

func (h *history) at(rev Revision) map[upstream.ID]upstream.Instance { return h.states[rev-1] }

func (h *history) list(rev Revision) []upstream.Instance {
	return slices.Collect(maps.Values(h.at(rev)))
}

// write puts an instance into the list, or removes it if in is nil.
func (h *history) write(id upstream.ID, in *upstream.Instance) {
	next := maps.Clone(h.at(h.newest()))
	delete(next, id)
	if in != nil {
		next[id] = *in
	}
	h.states = append(h.states, next)
}

// changes returns the changes between two revisions: the newest entry of each row that was written.
func (h *history) changes(after, rev Revision) []upstream.Change {
	var list []upstream.Change
	written := make(map[upstream.ID]bool)
	for r := after + 1; r <= rev; r++ {
		for id := range h.at(r) {
			if h.at(r)[id] != h.at(r - 1)[id] {
				written[id] = true
			}
		}
		for id := range h.at(r - 1) {
			if _, there := h.at(r)[id]; !there {
				written[id] = true
			}
		}
	}
	for id := range written {
		if in, there := h.at(rev)[id]; there {
			list = append(list, upstream.Change{Instance: in})
		} else {
			list = append(list, removed(id))
		}
	}
	return list
}

// action is a step of a random sequence: its kind, the routers that take part, and its parameters.
type action struct{ kind, router, peer, id, state, pause int }

func drawAction(t *rapid.T) action {
	return action{kind: rapid.IntRange(0, 6).Draw(t, "what"), router: rapid.IntRange(0, 2).Draw(t, "router"), peer: rapid.IntRange(0, 2).Draw(t, "peer"),
		id: rapid.IntRange(0, 4).Draw(t, "id"), state: rapid.IntRange(0, 5).Draw(t, "state"), pause: rapid.IntRange(0, 5000).Draw(t, "pause")}
}

func (h *history) perform(m action, routers []*Catalog) {
	c, now := routers[m.router], time.Now()
	rev := c.InstancesRevision()
	switch m.kind {
	case 0, 1:
		id, states := upstream.ID(fmt.Sprint(m.id)), []upstream.State{upstream.Ready, upstream.Ready, upstream.Draining, upstream.Unusable}
		if m.state < len(states) {
			h.write(id, &upstream.Instance{ID: id, Service: "s", State: states[m.state]})
		} else {
			h.write(id, nil)
		}
	case 2:
		c.Replace(h.list(h.newest()), h.newest(), now, "store")
	case 3:
		if after := rev - Revision(m.id); after > 0 {
			c.Apply(h.changes(after, h.newest()), after, h.newest(), time.Now(), "store")
		}
	case 4:
		h.catchUp(c, routers[m.peer])
	case 5:
		time.Sleep(time.Duration(m.pause) * time.Millisecond)
	case 6: // all entries expire and reappear unchanged
		before := h.at(h.newest())
		for id := range before {
			h.write(id, nil)
		}
		c.Replace(h.list(h.newest()), h.newest(), now, "store")
		for id, in := range before {
			h.write(id, &in)
		}
	}
	synctest.Wait()
}

// catchUp updates c with what peer knows.
func (h *history) catchUp(c, peer *Catalog) {
	c.MergeContact(peer.Contact())
	rev := c.InstancesRevision()
	given, at, _ := peer.List()
	switch {
	case at <= rev:
	case peer.UnchangedSince(rev):
		c.Confirm(at, time.Now())
	default:
		c.Replace(given.List(), at, time.Now(), "peer")
	}
}

// firstInconsistent returns the first router whose list differs from the store's at its revision; -1
// for none.
func (h *history) firstInconsistent(routers []*Catalog) int {
	for i, r := range routers {
		set, at, _ := r.List()
		if at == 0 {
			continue
		}
		listed := make(map[upstream.ID]upstream.Instance)
		for _, in := range set.List() {
			listed[in.ID] = in
		}
		if !maps.Equal(listed, h.at(at)) {
			return i
		}
	}
	return -1
}

// Guards against routers whose lists differ at the same revision: a peer that reports "unchanged
// since" relies on equal lists.
func TestListsAgreeAtARevision(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		moves := rapid.SliceOfN(rapid.Custom(drawAction), 200, 300).Draw(rt, "moves")
		wrong := -1
		synctest.Test(t, func(*testing.T) {
			l, _ := newTestLogger()
			h := &history{states: []map[upstream.ID]upstream.Instance{{}}}
			routers := []*Catalog{New(l), New(l), New(l)}
			for _, m := range moves {
				if h.perform(m, routers); wrong < 0 {
					wrong = h.firstInconsistent(routers)
				}
			}
		})
		require.Equal(rt, -1, wrong, "this router's list differs from the store's at its revision")
	})
}
