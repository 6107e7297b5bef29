package keeper

import (
	"slices"
	"time"

	"github.com/flamingowind/flamingowind/pkg/fair"
)

// picker chooses the upstream for one grant.
type picker struct {
	k          *Keeper
	now        time.Time
	urgentOnly bool
	// withinShare skips organisations far over their share.
	withinShare bool
	choice      *upstream
	alone       bool
	// suspects are entries that became suspects while they waited among the others.
	suspects []*fair.Entry[*claim]
}

// usable reports whether the claim can be handled now, and stores the upstream in choice.
func (p *picker) usable(e *fair.Entry[*claim]) bool {
	c := e.Value
	crashes := p.k.crashes(c)
	switch {
	case c.expired(p.now) || crashes >= p.k.options.MaxCrashes:
		return true
	case p.k.cooldown.active(c.Content, p.now):
		return false
	case p.urgentOnly && !p.k.mayUseReserve(c, p.now):
		return false
	case p.withinShare && p.k.farOverShare(c.Org):
		return false
	case crashes == 0:
		p.choice, p.alone = p.choose(c), false
	case e.Isolated:
		p.choice, p.alone = p.chooseIdle(c), true
	default:
		p.suspects = append(p.suspects, e)
		return false
	}
	return p.choice != nil
}

// choose returns the upstream that last served the same prompt prefix if it has a free
// slot, and otherwise the one with the largest free fraction. It only decides where a claim
// goes that is granted anyway, so it doesn't affect fairness and leaves no slot idle.
func (p *picker) choose(c *claim) *upstream {
	if u, ok := p.k.prefixes.Peek(c.Prefix); ok && c.Prefix != 0 && p.available(u, c) {
		return u
	}
	var best *upstream
	for _, u := range p.k.declared {
		if p.available(u, c) && (best == nil || u.freeFraction(p.now) > best.freeFraction(p.now)) {
			best = u
		}
	}
	return best
}

func (p *picker) available(u *upstream, c *claim) bool {
	return u != p.k.draining && u.free(p.now, p.k.options.GrantAhead) > 0 && !slices.Contains(c.Exclude, u.name)
}
