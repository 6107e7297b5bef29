package fleettest

// CutPair drops all that routers i and j send each other, until JoinPair.
func (f *Fleet) CutPair(i, j int) {
	f.Routers[i].Peer.Block(f.Routers[j].Settings.Listen.Peer)
	f.Routers[j].Peer.Block(f.Routers[i].Settings.Listen.Peer)
}

// JoinPair ends CutPair.
func (f *Fleet) JoinPair(i, j int) {
	f.Routers[i].Peer.Unblock(f.Routers[j].Settings.Listen.Peer)
	f.Routers[j].Peer.Unblock(f.Routers[i].Settings.Listen.Peer)
}

// Partition cuts the routers in group off from all other routers and from the
// platform; inside the group, and to the upstreams, links stay.
func (f *Fleet) Partition(group ...int) {
	for _, i := range group {
		for _, j := range f.But(group...) {
			f.CutPair(i, j)
		}
		f.Routers[i].Platform.Cut()
	}
}

// Mend ends Partition.
func (f *Fleet) Mend(group ...int) {
	for _, i := range group {
		for _, j := range f.But(group...) {
			f.JoinPair(i, j)
		}
		f.Routers[i].Platform.Heal()
	}
}
