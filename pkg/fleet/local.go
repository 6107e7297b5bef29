package fleet

import (
	"time"

	"github.com/flamingowind/flamingowind/pkg/affinity"
	"github.com/flamingowind/flamingowind/pkg/booking"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// Local is the part of this router that provides its own state and uses that of the others.
type Local interface {
	// Describe fills in this router's own state and work.
	Describe(r *Report)
	// NewPrefixes returns the prefixes cached since the last call.
	NewPrefixes() []CachedPrefix
	// AddPrefixes adds prefixes that other routers' requests have left in engines' caches.
	AddPrefixes(list []CachedPrefix)
	// NewStreams returns the records of streams that this router began since the last call, as far as
	// others need them; AddStreams adds those of other routers.
	NewStreams() []affinity.Record
	AddStreams(list []affinity.Record)
	// Software returns the software versions of services that this router knows; nil if that is known
	// to be no news and always is false. MergeSoftware merges those of another router, which were
	// known there at createdAt or later.
	Software(always bool) *affinity.Statement
	MergeSoftware(s affinity.Statement, createdAt time.Time)
	// Stream answers another router's question for the version of a stream.
	Stream(q affinity.Question) affinity.Reply
	// Book answers another router's ask for a turn at an engine.
	Book(a booking.Ask) booking.Answer
	// Founded reports that the fleet first started with this router.
	Founded()
	// Suspects returns the suspicions that requests crash upstreams which changed after a number, oldest
	// change first and bounded, and the number of the last one. It must not call the fleet.
	// MergeSuspects merges those of another router.
	Suspects(after uint64) (list []wire.Suspicion, last uint64)
	MergeSuspects(list []wire.Suspicion)
	// SetOthers sets the totals of all other routers' work.
	SetOthers(t Totals)
	// MergeEvacuated merges the evacuated zones that another router knows of, and those restored
	// recently.
	MergeEvacuated(peer Member, zones []string, revision int64, restored []RestoredZone)
	// MergeLeaving merges the upstreams that another router knows to have announced that they leave, as of
	// createdAt.
	MergeLeaving(peer Member, list []LeavingUpstream, createdAt time.Time)
	// StoreContacted reports a span in which another router was in uninterrupted contact with the
	// operators' store.
	StoreContacted(since, until time.Time)
	// PeerVersions reports which configuration and list a peer has, and that its list was current
	// at asOf; zero if that isn't known.
	PeerVersions(r *Report, asOf time.Time)
	// Catalog returns whatever is newer than the request describes, ApplyUpdate applies a peer's
	// update, whose list was current at asOf.
	Catalog(req CatalogRequest) CatalogUpdate
	ApplyUpdate(peer Member, update *CatalogUpdate, asOf time.Time)
}
