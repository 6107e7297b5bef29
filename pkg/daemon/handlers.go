package daemon

import (
	"time"

	"github.com/apex/log"

	"github.com/flamingowind/flamingowind/pkg/claimant"
	"github.com/flamingowind/flamingowind/pkg/config"
	"github.com/flamingowind/flamingowind/pkg/peer"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// claimantFrames hands keepers' answers to the claimant.
type claimantFrames struct{ claimant *claimant.Claimant }

// HandleFrame implements peer.Handler.
func (h claimantFrames) HandleFrame(from wire.RouterID, f *wire.Frame) {
	for _, s := range f.States {
		h.claimant.HandleState(from, s)
	}
	for _, r := range f.Refusals {
		h.claimant.HandleRefusal(from, r)
	}
	for _, g := range f.Grants {
		h.claimant.HandleGrant(from, g)
	}
}

// configFrames answers peers that ask for configuration and adopts what they send.
type configFrames struct {
	exchange  *config.Exchange
	transport *peer.Transport
	log       log.Interface
}

// HandleFrame implements peer.Handler.
func (h configFrames) HandleFrame(from wire.RouterID, f *wire.Frame) {
	for _, ask := range f.Asks {
		if data, ok := h.exchange.Ask(ask); ok {
			h.transport.Send(from, func(f *wire.Frame) { f.Configs = append(f.Configs, data) })
		}
	}
	for _, data := range f.Configs {
		if err := h.exchange.Data(time.Now(), data); err != nil {
			h.log.WithError(err).WithField("peer", from).Warn("configuration from a peer not adopted")
		}
	}
}
