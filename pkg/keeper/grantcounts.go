package keeper

// Granted counts grants. Unopposed counts those made while no other organisation had a
// waiting claim.
type Granted struct {
	All, Unopposed uint64
}

func (g *Granted) count(contended bool) {
	g.All++
	if !contended {
		g.Unopposed++
	}
}

// Add adds the counts of other.
func (g *Granted) Add(other Granted) {
	g.All += other.All
	g.Unopposed += other.Unopposed
}

// TakeGranted returns the counts since the last call and resets them.
func (k *Keeper) TakeGranted() Granted {
	g := k.grantCounts
	k.grantCounts = Granted{}
	return g
}
