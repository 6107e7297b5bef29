package gatewayd

import (
	"math"
	"time"

	"github.com/apex/log"

	"github.com/flamingowind/flamingowind/pkg/catalog"
	"github.com/flamingowind/flamingowind/pkg/fleet"
	"github.com/flamingowind/flamingowind/pkg/pace"
	"github.com/flamingowind/flamingowind/pkg/placement"
	"github.com/flamingowind/flamingowind/pkg/quarantine"
	"github.com/flamingowind/flamingowind/pkg/upstream"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// telling joins the fleet's reports to the parts that decide.
type telling struct {
	catalog  *catalog.Catalog
	ledger   *placement.LoadTracker
	holdings *placement.KVIndex
	shares   *placement.Shares
	inflows  *placement.Inflows
	paces    *pace.Estimator
	suspects *quarantine.List
	// demand is nil where connections aren't counted.
	demand  *demand
	ready   func() bool
	pressed func() bool
	// documents are what peers are given, and have given.
	documents documents
	log       log.Interface
	// behind takes peers that know more than this router.
	behind chan newer
}

// newer says that a peer has a newer configuration or list of upstreams.
type newer struct {
	peer              fleet.Member
	config, instances int64
	// asOf is when the peer's list was current.
	asOf time.Time
}

// Describe fills in what a report says of this router's work.
func (t *telling) Describe(r *fleet.Report) {
	r.Ready, r.CPUStarved = t.ready(), t.pressed()
	r.Config, r.Instances = t.catalog.Version(), int64(t.catalog.InstancesRevision())
	r.ConfigDigest, r.ListSince = t.digest(), int64(t.catalog.ListSince())
	r.ListAgeMs = t.catalog.InstancesAge(time.Now()).Milliseconds()
	contact := t.catalog.Contact()
	r.Store = fleet.NewStoreContact(contact.Since, contact.Until, time.Now())
	evacuations := t.catalog.Evacuations()
	r.Evacuated, r.EvacuatedAt = evacuations.Zones, int64(evacuations.Revision)
	r.Restored = encodeRestorations(t.catalog, time.Now())
	r.Loads = t.loads(time.Now())
	for service, p := range t.paces.OwnPauses() {
		r.Pauses = append(r.Pauses, encodePauses(service, p))
	}
	for service, f := range t.inflows.Own(time.Now()) {
		r.Inflows = append(r.Inflows, fleet.Inflow{Service: service, Rate: f.Rate.Seconds(), OverShare: f.OverShare})
	}
	stretch := t.demand.stretch(time.Now())
	for org, u := range t.shares.Own(time.Now()) {
		r.Uses = append(r.Uses, fleet.Use{Organisation: org, Asked: stretch * u.Asked, Got: u.Got})
	}
}

// loads gives this router's work and what it has seen of engines' speed, by life.
func (t *telling) loads(now time.Time) []fleet.InstanceLoad {
	own, seen := t.ledger.Own(), t.paces.Own(now)
	list := make([]fleet.InstanceLoad, 0, len(own)+len(seen))
	for life, l := range own {
		list = append(list, instanceLoad(life, l, seen[life]))
	}
	for life, s := range seen {
		if _, listed := own[life]; !listed {
			list = append(list, instanceLoad(life, placement.Load{}, s))
		}
	}
	return list
}

func instanceLoad(life upstream.Life, l placement.Load, s pace.Times) fleet.InstanceLoad {
	return fleet.InstanceLoad{Instance: string(life.ID), Life: life.Start, Running: l.Running, PrefillTokens: l.PrefillTokens, KVTokens: l.KVTokens,
		PauseWeight: l.PauseWeight, LongPrompts: l.LongPrompts, BaseMs: int(math.Round(s.Base)), ActualMs: int(math.Round(s.Actual))}
}

// NewPrefixes gives prompts newly read since the last call.
func (t *telling) NewPrefixes() []fleet.CachedPrefix {
	untold := t.holdings.TakeUnreported()
	list := make([]fleet.CachedPrefix, 0, len(untold))
	for _, h := range untold {
		list = append(list, fleet.CachedPrefix{Key: h.Key, Instance: string(h.Life.ID), Life: h.Life.Start})
	}
	return list
}

// AddPrefixes takes what other routers' engines have read.
func (t *telling) AddPrefixes(list []fleet.CachedPrefix) {
	holdings := make([]placement.CachedPrefix, 0, len(list))
	for _, r := range list {
		holdings = append(holdings, placement.CachedPrefix{Key: r.Key, Life: upstream.Life{ID: upstream.ID(r.Instance), Start: r.Life}})
	}
	t.holdings.Merge(holdings, time.Now())
}

// maxSuspects bounds the suspects in one report.
const maxSuspects = 256

// Suspects gives contents that ran on upstreams which broke off.
func (t *telling) Suspects() []wire.Suspicion {
	list := t.suspects.Snapshot()
	return list[:min(len(list), maxSuspects)]
}

// MergeSuspects takes those of another router.
func (t *telling) MergeSuspects(list []wire.Suspicion) { t.suspects.Merge(list) }

// SetOthers takes what all other routers do and have seen.
func (t *telling) SetOthers(told fleet.Totals) {
	others := make(map[upstream.Life]placement.Load, len(told.Loads))
	seen := make(map[upstream.Life]pace.Times, len(told.Loads))
	for of, l := range told.Loads {
		life := upstream.Life{ID: upstream.ID(of.Instance), Start: of.Life}
		others[life] = placement.Load{Running: l.Running, PrefillTokens: l.PrefillTokens, KVTokens: l.KVTokens, PauseWeight: l.PauseWeight, LongPrompts: l.LongPrompts}
		seen[life] = pace.Times{Base: float64(l.BaseMs), Actual: float64(l.ActualMs)}
	}
	t.ledger.SetOthers(others)
	t.paces.SetOthers(seen)
	t.inflows.SetOthers(inflows(told.Inflows), time.Now())
	shares := make(map[string]placement.Use, len(told.Uses))
	for org, u := range told.Uses {
		shares[org] = placement.Use{Asked: u.Asked, Got: u.Got}
	}
	t.shares.SetOthers(shares)
	seenPauses := make(map[string]pace.Pauses, len(told.Pauses))
	for service, p := range told.Pauses {
		seenPauses[service] = decodePauses(p)
	}
	t.paces.SetOthersPauses(seenPauses)
}

// inflows reads what others give to the instances of services. Those that can't be are left out.
func inflows(told map[string]fleet.Inflow) map[string]placement.Inflow {
	read := make(map[string]placement.Inflow, len(told))
	for service, f := range told {
		if f.Rate > 0 && f.Rate < mostInflow && math.Abs(f.Unseen) < mostInflow && math.Abs(f.OverShare) < mostSpare {
			read[service] = placement.Inflow{Rate: seconds(f.Rate), Unseen: seconds(f.Unseen), OverShare: max(0, f.OverShare)}
		}
	}
	return read
}

const (
	// mostInflow bounds what is believed of an inflow, in seconds of work: that of ten thousand
	// instances.
	mostInflow = 10_000
	// mostSpare bounds it in requests a second: a hundred for each of those.
	mostSpare = 1_000_000
)

// maxZones bounds the evacuated and the restored zones that are believed of a peer.
const maxZones = 1000

// MergeEvacuated takes the evacuated and the restored zones that another router knows of.
func (t *telling) MergeEvacuated(peer fleet.Member, zones []string, revision int64, restored []fleet.RestoredZone) {
	if len(zones) <= maxZones {
		t.catalog.Evacuate(zones, catalog.Revision(revision), "peer "+peer.Name)
	}
	if 0 < len(restored) && len(restored) <= maxZones {
		t.catalog.HearRestored(decodeRestorations(restored, time.Now()), "peer "+peer.Name)
	}
}

// StoreContacted takes when another router heard the operators' store.
func (t *telling) StoreContacted(since, until time.Time) {
	t.catalog.Vouch(catalog.Contact{Since: since, Until: until})
}

// PeerVersions notes a peer that knows more. The channel holds one: while a peer is asked,
// further ones are not needed, and reports come again.
//
// A peer with the same list says how old it is. Without that a list that doesn't change
// would seem old everywhere but at the routers that read it, and all would ask the store.
func (t *telling) PeerVersions(r *fleet.Report, asOf time.Time) {
	t.catalog.HearOf(r.Config)
	if own := int64(t.catalog.InstancesRevision()); r.Instances == own || r.Instances > own && own >= r.ListSince && r.ListSince > 0 {
		t.catalog.Confirm(catalog.Revision(r.Instances), asOf)
	}
	if !t.lacks(r.Config, r.Instances) {
		return
	}
	select {
	case t.behind <- newer{peer: r.From, config: r.Config, instances: r.Instances, asOf: asOf}:
	default:
	}
}

// lacks reports whether a peer with these versions knows more. The revision of the list
// grows with every write to the store, so a peer is asked only once the own copy is old.
func (t *telling) lacks(config, instances int64) bool {
	if config > t.catalog.Version() {
		return true
	}
	return instances > int64(t.catalog.InstancesRevision()) && t.catalog.InstancesAge(time.Now()) > fleet.StaleListAge
}
