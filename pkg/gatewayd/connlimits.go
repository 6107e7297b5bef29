package gatewayd

import (
	"math"

	"github.com/apex/log"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sys/unix"

	"github.com/flamingowind/flamingowind/pkg/buffers"
	"github.com/flamingowind/flamingowind/pkg/connlimit"
)

// Names of endpoints.
const (
	callersEndpoint   = "callers"
	peersEndpoint     = "peers"
	readinessEndpoint = "readiness"
	metricsEndpoint   = "metrics"
	entriesEndpoint   = "entries"
)

// connShare is how many connections an endpoint may have: for each MiB of the memory and for each descriptor.
type connShare struct{ perMiB, perDescriptor float64 }

// connShares are those of all endpoints. Each connection of a caller takes a second descriptor, to an upstream or to another
// router. A connection takes about 30 KiB; peers' are bounded for misuse only, as each router of a fleet may have some.
var connShares = map[string]connShare{
	callersEndpoint:   {perMiB: activePerMiB, perDescriptor: 1.0 / 3},
	peersEndpoint:     {perMiB: 4, perDescriptor: 1.0 / 8},
	entriesEndpoint:   {perMiB: 1, perDescriptor: 1.0 / 16},
	readinessEndpoint: {perMiB: 1.0 / 4, perDescriptor: 1.0 / 32},
	metricsEndpoint:   {perMiB: 1.0 / 4, perDescriptor: 1.0 / 32},
}

const (
	// unfinishedShare is the part of an endpoint's connections whose requests may be unfinished. The rest is for those that
	// are served.
	unfinishedShare = 0.5
	// minConns is the least number of connections of an endpoint.
	minConns = 8
	// refusalsPerMiB and refusalShare are how many connections may be about to be refused, for each MiB and each descriptor.
	refusalsPerMiB = 2
	refusalShare   = 1.0 / 8
	// otherDescriptors are those of the log, the settings, the store and the runtime.
	otherDescriptors = 64
)

// limit returns the limits on a host with so much memory in MiB and so many descriptors; 0 for unknown.
func (s connShare) limit(memoryMiB, descriptors int) connlimit.Limits {
	open := math.Inf(1)
	if memoryMiB > 0 {
		open = s.perMiB * float64(memoryMiB)
	}
	if descriptors > 0 {
		open = min(open, s.perDescriptor*float64(descriptors-otherDescriptors))
	}
	if math.IsInf(open, 1) {
		return connlimit.Limits{}
	}
	n := max(minConns, int(open))
	return connlimit.Limits{Open: n, Unfinished: max(minConns, int(unfinishedShare*float64(n)))}
}

// connLimits bounds the connections of all endpoints by the memory and the descriptors of the process.
type connLimits struct {
	// heads is the memory for the heads of requests, of all endpoints.
	heads    *buffers.Budget
	groups   map[string]*connlimit.Group
	reported map[string]connlimit.Counts
	scope    tally.Scope
	log      log.Interface
	// memoryMiB and descriptors are as set; 0 for unknown.
	memoryMiB, descriptors int
	// apply uses further limits that follow from the number of descriptors; 0 for unknown.
	apply func(descriptors int)
}

func newConnLimits(l LimitSettings, scope tally.Scope, lg log.Interface) *connLimits {
	c := &connLimits{heads: buffers.NewBudget(buffers.HeadLimitFor(int64(l.MemoryMiB) << 20)), groups: make(map[string]*connlimit.Group),
		reported: make(map[string]connlimit.Counts), scope: scope, log: lg, memoryMiB: l.MemoryMiB, descriptors: l.Descriptors, apply: func(int) {}}
	for name, share := range connShares {
		c.groups[name] = connlimit.NewGroup(share.limit(l.MemoryMiB, c.maxDescriptors()), c.heads)
	}
	return c
}

// maxDescriptors returns how many descriptors the process may have open; 0 for unknown.
func (c *connLimits) maxDescriptors() int {
	var own unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &own); err != nil || own.Cur > math.MaxInt32 {
		return c.descriptors
	}
	if c.descriptors == 0 {
		return int(own.Cur)
	}
	return min(c.descriptors, int(own.Cur))
}

// refresh applies the limits anew, as that of descriptors may have changed, and ends stalled writes. It is to be called every
// housekeepingInterval.
func (c *connLimits) refresh() {
	descriptors := c.maxDescriptors()
	for name, group := range c.groups {
		group.SetLimits(connShares[name].limit(c.memoryMiB, descriptors))
		group.Sweep(housekeepingInterval)
	}
	c.apply(descriptors)
}

// report logs and counts the connections that were closed for their clients' behaviour.
func (c *connLimits) report() {
	for name, group := range c.groups {
		is, was := group.Counts(), c.reported[name]
		if is == was {
			continue
		}
		c.reported[name] = is
		fields := log.Fields{"event": "clients_closed", "endpoint": name}
		for reason, n := range map[string]int64{
			"unfinished": is.Unfinished - was.Unfinished, "idle": is.Idle - was.Idle, "stalled": is.Stalled - was.Stalled, "heads": is.Heads - was.Heads,
		} {
			fields[reason] = n
			c.scope.Tagged(map[string]string{"endpoint": name, "reason": reason}).Counter("clients_closed").Inc(n)
		}
		c.log.WithFields(fields).Warn("connections were closed to make room for others")
	}
}

// limitOthers applies the limits of callers that follow from the number of descriptors.
func (p *Process) limitOthers(descriptors int) {
	kept := p.settings.Load().Limits.KeptConnections
	if open := connShares[callersEndpoint].limit(p.connLimits.memoryMiB, descriptors).Open; open > 0 {
		kept = min(kept, int(unfinishedShare*float64(open)))
	}
	p.conns.limit.Store(int64(kept))
	refusals := maxRefusals(p.connLimits.memoryMiB, descriptors)
	for _, l := range p.callerListeners {
		l.SetMaxRefusals(refusals)
	}
}

// maxRefusals returns how many connections may be about to be refused: the kernel holds what they have sent. 0 stands for the default.
func maxRefusals(memoryMiB, descriptors int) int {
	n := math.MaxInt32
	if memoryMiB > 0 {
		n = refusalsPerMiB * memoryMiB
	}
	if descriptors > 0 {
		n = min(n, max(1, int(refusalShare*float64(descriptors-otherDescriptors))))
	}
	if n == math.MaxInt32 {
		return 0
	}
	return n
}
