package daemon

import (
	"github.com/flamingowind/flamingowind/pkg/member"
	"github.com/flamingowind/flamingowind/pkg/peer"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// sender stamps frames with this router's life. Without it a keeper could take the
// first claims of a restarted router for late copies from its earlier life, and the
// requests would wait until gossip brings the news.
type sender struct {
	transport *peer.Transport
	members   *member.Duty
}

func newSender(t *peer.Transport, m *member.Duty) *sender { return &sender{t, m} }

// Send implements claimant.Sender and keeping.Sender.
func (s *sender) Send(to wire.RouterID, add func(*wire.Frame)) {
	life := wire.Incarnation(member.Life(s.members.View().Self.Incarnation))
	s.transport.Send(to, func(f *wire.Frame) {
		f.Life = life
		add(f)
	})
}

// AskConfig implements config.Asker.
func (s *sender) AskConfig(to wire.RouterID, ask wire.ConfigAsk) {
	s.transport.Send(to, func(f *wire.Frame) { f.Asks = append(f.Asks, ask) })
}
