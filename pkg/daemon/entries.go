package daemon

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/flamingowind/flamingowind/pkg/config"
	"github.com/flamingowind/flamingowind/pkg/member"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

const (
	// maxEntries bounds the addresses told to one caller.
	maxEntries = 8
	// keepEntries is how long a caller should keep an answer.
	keepEntries = 15 * time.Second
	// minSteer is the number of cells from which a model's callers are sent to the
	// routers that keep them. With fewer all callers of a model would meet at one or
	// two routers, which costs more than the control messages it spares.
	minSteer = 4
)

// entries tells callers which routers to use.
type entries struct {
	live    *config.Live
	members *member.Duty
}

// For implements edge.Entries. Organisations are spread over the routers by
// rendezvous hashing, so that one organisation's callers meet at the same ones.
func (e *entries) For(org, model string) ([]string, time.Duration) {
	view := e.members.View()
	order := append(turned(org, e.keepers(view, model)), view.First(org, maxEntries)...)
	var addrs []string
	for _, id := range order {
		m, ok := view.Member(id)
		if !ok || m.EntryAddr == "" || m.State != wire.MemberAlive || slices.Contains(addrs, m.EntryAddr) {
			continue
		}
		addrs = append(addrs, m.EntryAddr)
	}
	return addrs[:min(len(addrs), maxEntries)], keepEntries
}

// turned starts a list of keepers at another place for each organisation. A model of
// many cells has more keepers than an answer holds addresses: always told the same ones,
// its callers would never come to the others, whose claims then cross the wire.
func turned(org string, keepers []wire.RouterID) []wire.RouterID {
	if len(keepers) == 0 {
		return nil
	}
	first := int(xxhash.Sum64String(org) % uint64(len(keepers)))
	return append(slices.Clone(keepers[first:]), keepers[:first]...)
}

// Others are the addresses to try instead of this router.
func (e *entries) Others() []string {
	addrs, _ := e.For("", "")
	own := e.members.View().Self.EntryAddr
	return slices.DeleteFunc(addrs, func(a string) bool { return a == own })
}

func (e *entries) keepers(view *member.View, model string) []wire.RouterID {
	index := e.live.Index()
	if index == nil || model == "" {
		return nil
	}
	route := index.Model(model)
	if route == nil {
		return nil
	}
	cells := index.Cells(route.Pool)
	if len(cells) < minSteer {
		return nil
	}
	keepers := make([]wire.RouterID, len(cells))
	for i, c := range cells {
		keepers[i] = view.Keeper(c.ID)
	}
	return keepers
}
