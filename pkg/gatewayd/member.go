package gatewayd

import (
	"time"

	"github.com/flamingowind/flamingowind/pkg/fleet"
)

// addKnownPeers adds addresses where routers may run to the fleet's members.
func (p *Process) addKnownPeers(addrs []string) {
	for _, addr := range addrs {
		p.fleet.AddMembers([]fleet.Member{{Peers: addr}})
	}
}

func member(s Settings) fleet.Member {
	return fleet.Member{Name: s.Router.Name, Peers: s.peers(), Callers: s.callers(),
		Zone: s.Router.Zone, Started: time.Now().UnixNano(), Power: s.Limits.Cores, Handover: s.Listen.Handover}
}
