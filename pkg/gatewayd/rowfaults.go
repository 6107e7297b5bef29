package gatewayd

import (
	"sync"

	"github.com/apex/log"
	"github.com/uber-go/tally/v4"

	"github.com/flamingowind/flamingowind/pkg/catalog"
	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// maxUndeclaredLines bounds the lines about undeclared services for one look.
const maxUndeclaredLines = 10

// faultUndeclared is the fault of an upstream whose service the configuration doesn't declare.
const faultUndeclared = "its service isn't declared"

// rowFaults tells of the store's rows that can't be used.
type rowFaults struct {
	catalog *catalog.Catalog
	// otherFaults counts those beside the list of upstreams; nil for none.
	otherFaults func() int64
	log         log.Interface
	counter     tally.Counter
	reported    int64

	mu sync.Mutex
	// undeclared holds the service of each life that serves what isn't declared.
	undeclared map[upstream.Life]string
	// undeclaredCount counts how often a life joined undeclared.
	undeclaredCount int64
}

func newRowFaults(c *catalog.Catalog, others func() int64, l log.Interface, scope tally.Scope) *rowFaults {
	return &rowFaults{catalog: c, otherFaults: others, log: l, counter: scope.Counter("rows_unusable"), undeclared: make(map[upstream.Life]string)}
}

// fault gives why an entry names no instance to use; empty when it does.
func (f *rowFaults) fault(in *upstream.Instance) string {
	if in.State == upstream.Unusable {
		return in.Fault
	}
	if table := f.catalog.Table(); table != nil && table.Service(in.Service) == nil {
		return faultUndeclared
	}
	return ""
}

// total is how often rows changed to ones that can't be used.
func (f *rowFaults) total() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.catalog.Faults() + f.undeclaredCount
	if f.otherFaults != nil {
		n += f.otherFaults()
	}
	return n
}

// report looks for undeclared services and counts what is new. Configurations come apart from
// the list, so that one which is a moment late isn't told of at all by a look now and then.
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
				"config": f.catalog.Version()}).Warn("upstream's service isn't declared")
		}
	}
	f.undeclared = undeclared
}
