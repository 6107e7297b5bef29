package gatewayd

import "github.com/flamingowind/flamingowind/pkg/buffers"

// limitMemory bounds what requests and responses hold in memory, for a process with that much of it; 0 for unknown.
func (p *Process) limitMemory(memory int64) {
	p.gateway.Bodies().SetLimit(buffers.BodyLimitFor(memory))
	p.pools.Buffers().SetLimit(buffers.LimitFor(memory))
}

// reportMemory reports what requests and responses hold in memory, and its bounds.
func (p *Process) reportMemory() {
	for of, account := range map[string]*buffers.Budget{"requests": p.gateway.Bodies(), "heads": p.connLimits.heads, "responses": p.pools.Buffers()} {
		scope := p.metrics.Scope.Tagged(map[string]string{"of": of})
		scope.Gauge("memory_held_bytes").Update(float64(account.Used()))
		scope.Gauge("memory_held_limit_bytes").Update(float64(account.Limit()))
	}
}
