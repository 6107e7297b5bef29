package gateway

import (
	"time"

	"github.com/flamingowind/flamingowind/pkg/placement"
	"github.com/flamingowind/flamingowind/pkg/upstream"
	"github.com/flamingowind/flamingowind/pkg/verdict"
)

// place chooses the instance for the next attempt.
func (g *Gateway) place(r *request, now time.Time) (placement.Choice, *verdict.Error) {
	if r.tried == nil {
		r.tried = make(map[upstream.ID]bool, 1)
	}
	candidates := g.candidates(r, now)
	if len(candidates) == 0 {
		return placement.Choice{}, errNoUpstream()
	}
	found := placement.Choose(placement.Request{
		Work: g.work(r, 0), Chain: r.chain, Service: r.service, Zone: g.settings.Zone, Limit: g.limit(r),
	}, candidates, g.pace())
	if !found.OK {
		return placement.Choice{}, errOverloaded(briefly)
	}
	return found.Choice, nil
}

// candidates gives the instances that may be given the request.
func (g *Gateway) candidates(r *request, now time.Time) []placement.Candidate {
	members := g.catalog.Instances().Of(r.service.Name)
	kept := g.holdings.Kept(r.chain, now)
	list := make([]placement.Candidate, 0, len(members))
	for _, in := range members {
		if in.State != upstream.Ready || r.tried[in.ID] {
			continue
		}
		handicap, ok := g.health.Usable(in.ID, now)
		if !ok {
			continue
		}
		list = append(list, placement.Candidate{Instance: in, Load: g.ledger.Of(in.ID), Kept: kept[in.ID], Handicap: handicap})
	}
	return list
}

func (g *Gateway) work(r *request, unread int) placement.Work {
	return placement.Work{Organisation: r.org, Prompt: r.ask.Prompt, Unread: unread}
}

// limit is the longest wait that is worth starting.
func (g *Gateway) limit(r *request) time.Duration { return time.Hour }
