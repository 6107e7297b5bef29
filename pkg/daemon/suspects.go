package daemon

import (
	"math/rand/v2"

	"github.com/flamingowind/flamingowind/pkg/member"
	"github.com/flamingowind/flamingowind/pkg/peer"
	"github.com/flamingowind/flamingowind/pkg/quarantine"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// suspicionFanout is the number of peers that one piece of news goes to; each that
// hears it first passes it on, so it reaches 330 routers in three or four hops while
// no router sends more than a few messages.
const suspicionFanout = 8

// suspects joins the list of suspect contents to the edge and to the other routers.
type suspects struct {
	list      *quarantine.List
	members   *member.Duty
	transport *peer.Transport
	// notify tells the keepers of news; set before the first frame comes.
	notify func(content uint64)
}

// Check implements edge.Suspects.
func (s *suspects) Check(content uint64) error { return s.list.Check(content) }

// Crashed implements edge.Suspects. A content that was a suspect already ran alone. Each crash gets a number
// of its own: an upstream has no other identity of its lives here, and crashes beside others, which
// several routers may see, don't confirm a content.
func (s *suspects) Crashed(_ string, contents ...uint64) {
	for _, c := range contents {
		if news, ok := s.list.RecordCrash(c, rand.Uint32(), s.list.CrashCount(c) > 0); ok {
			s.spread(news)
		}
	}
}

// Served implements edge.Suspects.
func (s *suspects) Served(content uint64) {
	if s.list.CrashCount(content) == 0 {
		return
	}
	if news, ok := s.list.RecordCompletion(content); ok {
		s.spread(news)
	}
}

// HandleFrame implements peer.Handler.
func (s *suspects) HandleFrame(_ wire.RouterID, f *wire.Frame) {
	if len(f.Suspicions) > 0 {
		s.spread(s.list.Merge(f.Suspicions)...)
	}
}

func (s *suspects) spread(news ...wire.Suspicion) {
	if len(news) == 0 {
		return
	}
	for _, n := range news {
		s.notify(n.Content)
	}
	view := s.members.View()
	for _, id := range view.First(string(view.Self.ID), suspicionFanout) {
		if id != view.Self.ID {
			s.transport.Send(id, func(f *wire.Frame) { f.Suspicions = append(f.Suspicions, news...) })
		}
	}
}
