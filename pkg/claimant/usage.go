package claimant

import "github.com/flamingowind/flamingowind/pkg/wire"

// tally is the service that this router delivered through all cells of one pool.
//
// Pools are counted apart. Were an organisation's tokens at the engines charged in the
// cells of a plain service too, an organisation that uses no engine could flood the
// service, and the check-ins of everyone who does would wait behind all of that flood.
type tally struct {
	totals map[string]wire.Units
	orgs   []string // the organisations in totals, the first served first
}

func (m *machine) tally(pool string) *tally {
	t, ok := m.tallies[pool]
	if !ok {
		t = &tally{totals: make(map[string]wire.Units)}
		m.tallies[pool] = t
	}
	return t
}

// know makes reports list an organisation from now on.
func (t *tally) know(org string) {
	if _, ok := t.totals[org]; ok {
		return
	}
	t.totals[org] = 0
	t.orgs = append(t.orgs, org)
}
