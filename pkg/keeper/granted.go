package keeper

// Granted counts grants. Unopposed are those made while no other organisation had a claim waiting.
type Granted struct {
	All, Unopposed uint64
}

func (g *Granted) count(opposed bool) {
	g.All++
	if !opposed {
		g.Unopposed++
	}
}

// Add adds other grants.
func (g *Granted) Add(other Granted) {
	g.All += other.All
	g.Unopposed += other.Unopposed
}

// TakeGranted returns the grants since it was last called.
func (k *Keeper) TakeGranted() Granted {
	g := k.granted
	k.granted = Granted{}
	return g
}
