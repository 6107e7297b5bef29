package keeper

import (
	"cmp"
	"time"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// slot is one slot in use: granted, or running as a router reported.
type slot struct {
	key
	org      string
	upstream *upstream
	claim    *claim // nil when the slot was learnt from a report
	alone    bool
	started  bool // a report listed it as running
	// omitted says that a Full report listed it nowhere since the last copy of the grant.
	omitted bool
	// repeats counts the copies of the grant sent without being asked for.
	repeats int

	granted time.Time // first grant
	sent    time.Time // last copy of the grant
	news    time.Time // last word that the router may hold it
	expires time.Time // when it is freed since its router is gone; zero while it lives

	cost     wire.Units // delivered, as the router reported
	charged  wire.Units // of that, what stands in the organisation's counter
	expected wire.Units // what it is expected to take yet
}

// lapsed says that the router can't start the grant any more.
func (s *slot) lapsed(o *Options, now time.Time) bool {
	return !now.Before(s.sent.Add(o.TTL + o.Margin))
}

// due says that the slot is to be freed by time alone. heard is the last message of the
// router's present life: reports list only changes mostly, so any message from a living
// router confirms all its slots until a Full report tells otherwise.
func (s *slot) due(o *Options, heard, now time.Time) bool {
	switch {
	case !s.expires.IsZero():
		return !now.Before(s.expires)
	case s.omitted && s.lapsed(o, now):
		return true
	case heard.Before(s.news):
		heard = s.news
	}
	return !now.Before(heard.Add(o.Silent))
}

func compareSlots(a, b *slot) int {
	return cmp.Or(
		cmp.Compare(a.router, b.router),
		cmp.Compare(a.incarnation, b.incarnation),
		cmp.Compare(a.id, b.id),
	)
}
