package gatewayd

import "time"

// shortestObjective returns the shortest objective of streams; 0 without a configuration.
func (p *Process) shortestObjective() time.Duration {
	table := p.catalog.Table()
	if table == nil {
		return 0
	}
	return table.ShortestStreamObjective()
}

// capacity returns the declared capacity of all engines together, in tokens a second; 0 without a
// configuration.
func (p *Process) capacity() float64 {
	table := p.catalog.Table()
	if table == nil {
		return 0
	}
	return table.Config.Limits.TokensPerSecond
}
