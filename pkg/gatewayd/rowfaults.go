package gatewayd

import (
	"sync"

	"github.com/apex/log"
	"github.com/uber-go/tally/v4"

	"github.com/flamingowind/flamingowind/pkg/catalog"
	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// maxUndeclaredLines bounds the log lines about undeclared services in one round.
const maxUndeclaredLines = 10

// faultUndeclared is the fault of an upstream whose service the configuration doesn't declare.
const faultUndeclared = "its service isn't declared"

// rowFaults reports unusable rows of the store.
type rowFaults struct {
	catalog *catalog.Catalog
	// otherFaults counts the faults of rows other than the list of upstreams; nil for none.
	otherFaults func() int64
	log         log.Interface
	counter     tally.Counter
	reported    int64

	mu sync.Mutex
	// undeclared holds the service of each life whose service isn't declared.
	undeclared map[upstream.Life]string
	// undeclaredCount counts additions to undeclared.
	undeclaredCount int64
}

func newRowFaults(c *catalog.Catalog, others func() int64, l log.Interface, scope tally.Scope) *rowFaults {
	return &rowFaults{catalog: c, otherFaults: others, log: l, counter: scope.Counter("rows_unusable"), undeclared: make(map[upstream.Life]string)}
}

// fault returns why an instance is unusable; empty when it is usable.
func (f *rowFaults) fault(in *upstream.Instance) string {
	if in.State == upstream.Unusable {
		return in.Fault
	}
	if table := f.catalog.Table(); table != nil && table.Service(in.Service) == nil {
		return faultUndeclared
	}
	return ""
}

// total returns how often rows became unusable.
func (f *rowFaults) total() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.catalog.Faults() + f.undeclaredCount
	if f.otherFaults != nil {
		n += f.otherFaults()
	}
	return n
}

// report finds undeclared services and updates the metric. Configurations and the list arrive
// separately; a periodic check usually doesn't report a configuration that is only a moment late.
func (f *rowFaults) report() {
	f.findUndeclared()
	total := f.total()
	f.counter.Inc(total - f.reported)
	f.reported = total
}

func (f *rowFaults) findUndeclared() {
	f.mu.Lock()
	defer f.mu.Unlock()
	undeclared := make(map[upstream.Life]string)
	lines := 0
	for _, in := range f.catalog.Instances().List() {
		if in.State == upstream.Unusable || f.fault(&in) == "" {
			continue
		}
		life := in.Life()
		undeclared[life] = in.Service
		if f.undeclared[life] == in.Service {
			continue
		}
		f.undeclaredCount++
		if lines++; lines <= maxUndeclaredLines {
			f.log.WithFields(log.Fields{"event": "service_undeclared", "instance": in.ID, "service": in.Service,
				"config": f.catalog.Version()}).Warn("service of the upstream is not declared")
		}
	}
	f.undeclared = undeclared
}
