package load

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/multierr"

	"github.com/flamingowind/flamingowind/internal/devfleet"
)

// Requests of the warm-up: their number at each router and their length in tokens.
const (
	warmUpRounds = 2
	warmUpTokens = 8
)

// WarmUpOrg is the organisation that warms a fleet up. It has to be none of those
// that are measured: the fleet learns what requests of an organisation cost, so
// short ones sent before the load would change the order of its first seconds.
const WarmUpOrg = "warm-up"

// warmUp has every router serve a few completions, outside the records. A fleet that
// has just started waits for its members' reports before it grants the first slot;
// measured with the load, that wait of a second would hide what a running fleet does.
// The wait after a router's death stays in the figures of the faults scenario.
func warmUp(ctx context.Context, ready devfleet.Ready) error {
	caller := NewCaller(ready.Model, ready.Service, patience)
	defer caller.Close()
	org := warmUpOrg(ready)
	stamp := time.Now().UnixNano()
	var all sync.WaitGroup
	faults := make([]error, len(ready.Routers))
	for i, r := range ready.Routers {
		all.Go(func() {
			for round := range warmUpRounds {
				marker := fmt.Sprintf("warm-up-%d-%s-%d", stamp, r.ID, round)
				res := caller.Do(ctx, Request{
					Marker: marker, Org: org, Form: Streamed, Entry: r.Entry, Tokens: warmUpTokens,
				})
				if res.Outcome != Whole {
					faults[i] = errors.Errorf("warm up %s: %s: %s", r.ID, res.Outcome, res.Fault)
				}
			}
		})
	}
	all.Wait()
	return multierr.Combine(faults...)
}

// warmUpOrg is the organisation for the warm-up, or the last one where it is missing.
func warmUpOrg(ready devfleet.Ready) devfleet.OrgInfo {
	last := ready.Organisations[len(ready.Organisations)-1]
	for _, o := range ready.Organisations {
		if o.Name == WarmUpOrg {
			return o
		}
	}
	return last
}
