package daemon

import (
	"context"
	"slices"

	"github.com/flamingowind/flamingowind/pkg/member"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

const (
	// catchUpSenders is how many routers tell one newcomer all suspicions: more than
	// one, since a sender may be new itself, and few, so that a fleet isn't busy with it.
	catchUpSenders = 3
	// catchUpChunk bounds the suspicions in one message.
	catchUpChunk = 256
)

// catchUp tells routers that come back which contents crash upstreams.
//
// Guard: news of a suspicion is sent once, when it comes up. A router that was
// restarted or cut off then doesn't know it; if such a router keeps a cell, a request
// that was refused everywhere would run there again and kill two more upstreams.
type catchUp struct {
	suspects *suspects
	met      map[wire.RouterID]uint64 // the life of each router that was alive last time
}

func newCatchUp(s *suspects) *catchUp {
	return &catchUp{suspects: s, met: make(map[wire.RouterID]uint64)}
}

// run follows the membership until ctx ends.
func (c *catchUp) run(ctx context.Context) {
	views, end := c.suspects.members.Subscribe()
	defer end()
	for {
		select {
		case <-ctx.Done():
			return
		case <-views:
			c.look(c.suspects.members.View())
		}
	}
}

// look finds the routers that are alive and were not, or were in an earlier life.
func (c *catchUp) look(view *member.View) {
	alive := make(map[wire.RouterID]uint64, len(view.Members))
	for _, m := range view.Members {
		if m.State != wire.MemberAlive || m.ID == view.Self.ID {
			continue
		}
		life := member.Life(m.Incarnation)
		alive[m.ID] = life
		if before, met := c.met[m.ID]; met && before == life {
			continue
		}
		if slices.Contains(view.First(string(m.ID), catchUpSenders), view.Self.ID) {
			c.tell(m.ID)
		}
	}
	c.met = alive
}

func (c *catchUp) tell(to wire.RouterID) {
	for news := range slices.Chunk(c.suspects.list.Snapshot(), catchUpChunk) {
		c.suspects.transport.Send(to, func(f *wire.Frame) { f.Suspicions = append(f.Suspicions, news...) })
	}
}
