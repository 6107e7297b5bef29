package keeper

import (
	"slices"
	"time"

	"github.com/flamingowind/flamingowind/pkg/fair"
)

// picker finds the upstream for one grant.
type picker struct {
	k          *Keeper
	now        time.Time
	urgentOnly bool
	// withinShare passes over organisations far over their share.
	withinShare bool
	choice      *upstream
	alone       bool
	// suspects are entries found to be suspect while they waited among the others.
	suspects []*fair.Entry[*claim]
}

// usable says whether the claim can be handled now, and remembers on which upstream.
func (p *picker) usable(e *fair.Entry[*claim]) bool {
	c := e.Value
	deaths := p.k.deaths(c)
	switch {
	case c.expired(p.now) || deaths >= p.k.o.MaxDeaths:
		return true
	case p.k.heldBack.holds(c.Content, p.now):
		return false
	case p.urgentOnly && !p.k.reserved(c, p.now):
		return false
	case p.withinShare && p.k.farOverShare(c.Org):
		return false
	case deaths == 0:
		p.choice, p.alone = p.choose(c), false
	case e.Isolated:
		p.choice, p.alone = p.chooseIdle(c), true
	default:
		p.suspects = append(p.suspects, e)
		return false
	}
	return p.choice != nil
}

// choose takes the upstream that served the same prompt prefix last, when it has a free
// slot, and otherwise the one with the most relative spare. It only says where a claim
// goes that is granted anyway, so it costs no fairness and idles no slot.
func (p *picker) choose(c *claim) *upstream {
	if u, ok := p.k.prefixes.Peek(c.Prefix); ok && c.Prefix != 0 && p.open(u, c) {
		return u
	}
	var best *upstream
	for _, u := range p.k.ranked {
		if p.open(u, c) && (best == nil || u.spare(p.now) > best.spare(p.now)) {
			best = u
		}
	}
	return best
}

func (p *picker) open(u *upstream, c *claim) bool {
	return u != p.k.emptied && u.free(p.now, p.k.o.GrantAhead) > 0 && !slices.Contains(c.Exclude, u.name)
}
