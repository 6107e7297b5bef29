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

// entryFaults tells of the store's rows that can't be used.
type entryFaults struct {
	catalog *catalog.Catalog
	// others counts those beside the list of upstreams; nil for none.
	others  func() int64
	log     log.Interface
	counter tally.Counter
	told    int64

	mu sync.Mutex
	// undeclared holds the service of each life that serves what isn't declared.
	undeclared map[upstream.Life]string
	// services counts how often a life joined undeclared.
	services int64
}

func newEntryFaults(c *catalog.Catalog, others func() int64, l log.Interface, scope tally.Scope) *entryFaults {
	return &entryFaults{catalog: c, others: others, log: l, counter: scope.Counter("rows_unusable"), undeclared: make(map[upstream.Life]string)}
}

// of gives why an entry names no instance to use; empty when it does.
func (f *entryFaults) of(in *upstream.Instance) string {
	if in.State == upstream.Unusable {
		return in.Fault
	}
	if table := f.catalog.Table(); table != nil && table.Service(in.Service) == nil {
		return faultUndeclared
	}
	return ""
}

// total is how often rows changed to ones that can't be used.
func (f *entryFaults) total() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.catalog.Faults() + f.services
	if f.others != nil {
		n += f.others()
	}
	return n
}

// tell looks for undeclared services and counts what is new. Configurations come apart from
// the list, so that one which is a moment late isn't told of at all by a look now and then.
func (f *entryFaults) tell() {
	f.look()
	now := f.total()
	f.counter.Inc(now - f.told)
	f.told = now
}

func (f *entryFaults) look() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := make(map[upstream.Life]string)
	lines := 0
	for _, in := range f.catalog.Instances().List() {
		if in.State == upstream.Unusable || f.of(&in) == "" {
			continue
		}
		life := in.Life()
		now[life] = in.Service
		if f.undeclared[life] == in.Service {
			continue
		}
		f.services++
		if lines++; lines <= maxUndeclaredLines {
			f.log.WithFields(log.Fields{"event": "service_undeclared", "instance": in.ID, "service": in.Service,
				"config": f.catalog.Version()}).Warn("upstream's service isn't declared")
		}
	}
	f.undeclared = now
}
