package claimant

import "github.com/flamingowind/flamingowind/pkg/wire"

// poolUsage is the service that this router delivered through all cells of one pool.
//
// Pools are counted separately. If an organisation's tokens at the engines were charged in
// the cells of a plain service too, an organisation that uses no engine could flood the
// service, and the calls of everyone who does would wait behind the whole flood.
type poolUsage struct {
	totals map[string]wire.Units
	orgs   []string // the organisations in totals, the first served first
}

func (m *stateMachine) usage(pool string) *poolUsage {
	u, ok := m.usages[pool]
	if !ok {
		u = &poolUsage{totals: make(map[string]wire.Units)}
		m.usages[pool] = u
	}
	return u
}

// addOrg makes reports list an organisation from now on.
func (u *poolUsage) addOrg(org string) {
	if _, ok := u.totals[org]; ok {
		return
	}
	u.totals[org] = 0
	u.orgs = append(u.orgs, org)
}
