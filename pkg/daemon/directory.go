package daemon

import (
	"time"

	"github.com/flamingowind/flamingowind/pkg/config"
	"github.com/flamingowind/flamingowind/pkg/marks"
	"github.com/flamingowind/flamingowind/pkg/member"
	"github.com/flamingowind/flamingowind/pkg/resource"
	"github.com/flamingowind/flamingowind/pkg/settings"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// directory answers claimant and keeping from the configuration in force, the
// membership, the leaving marks and what upstreams said about themselves.
type directory struct {
	self    wire.RouterID
	alone   bool
	live    *config.Live
	members *member.Duty
	marks   *marks.Store
	notices *notices
}

func newDirectory(s settings.Settings, l *config.Live, m *member.Duty, k *marks.Store, n *notices) *directory {
	return &directory{
		self:    wire.RouterID(s.Router.ID),
		alone:   s.Sharing.Mode == settings.SharingAlone,
		live:    l,
		members: m,
		marks:   k,
		notices: n,
	}
}

// Index implements keeping.Directory.
func (d *directory) Index() *resource.Index { return d.live.Index() }

// Keeps implements keeping.Directory.
func (d *directory) Keeps(cell wire.CellID) bool {
	return d.alone || d.members.View().Keeper(cell) == d.self
}

// Alive implements keeping.Directory.
func (d *directory) Alive() []wire.RouterID {
	if d.alone {
		return []wire.RouterID{d.self}
	}
	var alive []wire.RouterID
	for _, m := range d.members.View().Members {
		if m.State != wire.MemberDead {
			alive = append(alive, m.ID)
		}
	}
	return alive
}

// Cells implements claimant.Directory.
func (d *directory) Cells(pool string) []wire.CellID {
	index := d.live.Index()
	if index == nil {
		return nil
	}
	cells := index.Cells(pool)
	ids := make([]wire.CellID, len(cells))
	for i, c := range cells {
		ids[i] = c.ID
	}
	return ids
}

// Keeper implements claimant.Directory.
func (d *directory) Keeper(cell wire.CellID) (wire.RouterID, bool) {
	index := d.live.Index()
	if index == nil || index.Cell(cell) == nil {
		return "", false
	}
	if d.alone {
		return d.self, true
	}
	keeper := d.members.View().Keeper(cell)
	return keeper, keeper != ""
}

// UpstreamURL implements claimant.Directory.
func (d *directory) UpstreamURL(name string) (string, bool) {
	index := d.live.Index()
	if index == nil {
		return "", false
	}
	u := index.Upstream(name)
	if u == nil {
		return "", false
	}
	return u.URL, true
}

// Usable implements claimant.Directory. It is asked last before a request is sent.
//
// A router that can't confirm its configuration can't know which upstreams are
// leaving either: requests that were waiting when it was cut off would go to hosts
// that shut down, and callers would see their answers cut. So it sends nothing.
func (d *directory) Usable(name string) bool {
	index := d.live.Index()
	if index == nil || d.live.Admit(time.Now()) != nil {
		return false
	}
	u := index.Upstream(name)
	return u != nil && !u.Leaving && !d.marks.Leaving(name) && d.notices.usable(name, time.Now())
}
