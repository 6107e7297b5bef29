package keeper

// GrantCounts counts grants. Uncontended counts those made while no other organisation had a
// waiting claim.
type GrantCounts struct {
	All, Uncontended uint64
}

func (g *GrantCounts) count(contended bool) {
	g.All++
	if !contended {
		g.Uncontended++
	}
}

// Add adds the counts of other.
func (g *GrantCounts) Add(other GrantCounts) {
	g.All += other.All
	g.Uncontended += other.Uncontended
}

// TakeGrantCounts returns the counts since the last call and resets them.
func (k *Keeper) TakeGrantCounts() GrantCounts {
	g := k.grantCounts
	k.grantCounts = GrantCounts{}
	return g
}
