package fleet

import (
	"time"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// Local is the part of this router that provides its own state and uses that of the others.
type Local interface {
	// Describe fills in this router's own state and work.
	Describe(r *Report)
	// NewPrefixes returns the prefixes cached since the last call.
	Reads() []PromptRead
	// AddPrefixes adds prefixes that other routers' requests have left in engines' caches.
	Learn(list []PromptRead)
	// Suspects returns the contents of requests that ran on upstreams which crashed;
	// MergeSuspects adds those of another router.
	Suspects() []wire.Suspicion
	Suspect(list []wire.Suspicion)
	// SetOthers sets the totals of all other routers' work.
	Work(w Work)
	// MergeEvacuated merges the evacuated zones that another router knows of, and those restored
	// recently.
	Evacuated(peer Member, zones []string, revision int64, restored []RestoredZone)
	// StoreContacted reports a span in which another router was in uninterrupted contact with the
	// operators' store.
	StoreHeard(since, until time.Time)
	// PeerVersions reports which configuration and list a peer has, and that its list was current
	// at asOf.
	Behind(r *Report, asOf time.Time)
	// Catalog returns whatever is newer than the request describes, ApplyUpdate applies a peer's
	// update, whose list was current at asOf.
	Catalog(ask CatalogAsk) CatalogGiven
	Take(peer Member, given *CatalogGiven, asOf time.Time)
}
