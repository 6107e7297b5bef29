package gatewayd

import (
	"math"
	"time"

	"github.com/apex/log"

	"github.com/flamingowind/flamingowind/pkg/affinity"
	"github.com/flamingowind/flamingowind/pkg/booking"
	"github.com/flamingowind/flamingowind/pkg/catalog"
	"github.com/flamingowind/flamingowind/pkg/fleet"
	"github.com/flamingowind/flamingowind/pkg/gateway"
	"github.com/flamingowind/flamingowind/pkg/pace"
	"github.com/flamingowind/flamingowind/pkg/placement"
	"github.com/flamingowind/flamingowind/pkg/quarantine"
	"github.com/flamingowind/flamingowind/pkg/upstream"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// localState connects the fleet's reports with the components that use them.
type localState struct {
	catalog     *catalog.Catalog
	loads       *placement.LoadTracker
	prefixIndex *placement.KVIndex
	shares      *placement.Shares
	inflows     *placement.Inflows
	estimator   *pace.Estimator
	quarantine  *quarantine.Book
	streams     *affinity.Tracker
	bookings    *booking.Book
	// demand is nil where connections aren't counted.
	demand     *demand
	ready      func() bool
	cpuStarved func() bool
	// documents caches the encoded configurations and lists exchanged with peers.
	documents documents
	log       log.Interface
	// newerPeers receives peers that have a newer configuration or list.
	newerPeers chan newerPeer
}

// newerPeer is a peer that has a newer configuration or list of upstreams.
type newerPeer struct {
	member                      fleet.Member
	configVersion, listRevision int64
	// asOf is when the peer's list was current.
	asOf time.Time
}

// Describe fills in a report of this router's state and work.
func (ls *localState) Describe(r *fleet.Report) {
	r.Ready, r.CPUStarved = ls.ready(), ls.cpuStarved()
	r.Config, r.Instances = ls.catalog.Version(), int64(ls.catalog.InstancesRevision())
	r.ConfigDigest, r.ListSince = ls.digest(), int64(ls.catalog.ListSince())
	r.ListAgeMs = ls.catalog.InstancesAge(time.Now()).Milliseconds()
	contact := ls.catalog.Contact()
	r.Store = fleet.NewStoreContact(contact.Since, contact.Until, time.Now())
	evacuations := ls.catalog.Evacuations()
	r.Evacuated, r.EvacuatedAt = evacuations.Zones, int64(evacuations.Revision)
	r.Restored = encodeRestorations(ls.catalog, time.Now())
	r.Leaving = encodeDepartures(ls.catalog.Departures(), time.Now())
	r.Loads = ls.instanceLoads(time.Now())
	for service, p := range ls.estimator.OwnPauses() {
		r.Pauses = append(r.Pauses, encodePauses(service, p))
	}
	for service, inflow := range ls.inflows.Own(time.Now()) {
		r.Inflows = append(r.Inflows, fleet.Inflow{Service: service, Rate: inflow.Rate.Seconds(), OverShare: inflow.OverShare})
	}
	factor := ls.demand.factor(time.Now())
	for org, u := range ls.shares.Own(time.Now()) {
		r.Uses = append(r.Uses, fleet.Use{Organisation: org, Asked: factor * u.Asked, Got: u.Got})
	}
}

// instanceLoads returns this router's work and its measured prefill times, by instance life.
func (ls *localState) instanceLoads(now time.Time) []fleet.InstanceLoad {
	own, times := ls.loads.Own(), ls.estimator.Own(now)
	list := make([]fleet.InstanceLoad, 0, len(own)+len(times))
	for life, l := range own {
		list = append(list, instanceLoad(life, l, times[life]))
	}
	for life, s := range times {
		if _, listed := own[life]; !listed {
			list = append(list, instanceLoad(life, placement.Load{}, s))
		}
	}
	return list
}

func instanceLoad(life upstream.Life, load placement.Load, times pace.Times) fleet.InstanceLoad {
	return fleet.InstanceLoad{Instance: string(life.ID), Life: life.Start, Running: load.Running, PrefillTokens: load.PrefillTokens, KVTokens: load.KVTokens,
		PauseWeight: load.PauseWeight, LongPrompts: load.LongPrompts, BaseMs: int(math.Round(times.Base)), ActualMs: int(math.Round(times.Actual))}
}

// NewPrefixes returns the prompt prefixes cached since the last call.
func (ls *localState) NewPrefixes() []fleet.CachedPrefix {
	unreported := ls.prefixIndex.TakeUnreported()
	list := make([]fleet.CachedPrefix, 0, len(unreported))
	for _, cached := range unreported {
		list = append(list, fleet.CachedPrefix{Key: cached.Key, Instance: string(cached.Life.ID), Life: cached.Life.Start})
	}
	return list
}

// AddPrefixes merges the cached prefixes that other routers report.
func (ls *localState) AddPrefixes(list []fleet.CachedPrefix) {
	prefixes := make([]placement.CachedPrefix, 0, len(list))
	for _, r := range list {
		prefixes = append(prefixes, placement.CachedPrefix{Key: r.Key, Life: upstream.Life{ID: upstream.ID(r.Instance), Start: r.Life}})
	}
	ls.prefixIndex.Merge(prefixes, time.Now())
}

// NewStreams returns the records of streams that other routers need.
func (ls *localState) NewStreams() []affinity.Record { return ls.streams.TakeRecords(time.Now()) }

// AddStreams adds the records of other routers.
func (ls *localState) AddStreams(list []affinity.Record) { ls.streams.Merge(list, time.Now()) }

// Software returns the software versions of services; nil while each has just one, unless always is
// set.
func (ls *localState) Software(always bool) *affinity.Statement {
	s, several := ls.streams.Statement(time.Now())
	if !always && !several {
		return nil
	}
	return &s
}

// MergeSoftware merges the software versions that another router knows.
func (ls *localState) MergeSoftware(s affinity.Statement, createdAt time.Time) {
	ls.streams.MergeStatement(s, createdAt, time.Now())
}

// Stream answers another router's question for the version of a stream.
func (ls *localState) Stream(q affinity.Question) affinity.Reply {
	return ls.streams.Reply(q, time.Now())
}

// Book answers another router's ask for a turn at an engine.
func (ls *localState) Book(a booking.Ask) booking.Answer { return ls.bookings.Decide(a, time.Now()) }

// Founded records that the fleet first started with this router.
func (ls *localState) Founded() { ls.streams.MarkFounded() }

// maxSuspects bounds the suspects in one report, apart from the few that are sent ahead.
const maxSuspects = 256

// Suspects returns the suspicions that changed after a number.
func (ls *localState) Suspects(after uint64) ([]wire.Suspicion, uint64) {
	return ls.quarantine.News(after, maxSuspects)
}

// MergeSuspects merges the suspects of another router.
func (ls *localState) MergeSuspects(list []wire.Suspicion) {
	for _, s := range ls.quarantine.Merge(list) {
		logMerged(ls.log, s, "peer")
	}
}

// logMerged logs a suspicion that came from source.
func logMerged(l log.Interface, s wire.Suspicion, source string) {
	l.WithFields(log.Fields{"event": "suspicion_merged", "subject": gateway.FormatSubject(s.Content), "part": s.Part, "crashes": len(s.Crashes), "sound": s.Sound > 0, "source": source}).Debug("another router suspects or clears a request")
}

// SetOthers sets the combined work and measurements of all other routers.
func (ls *localState) SetOthers(totals fleet.Totals) {
	loads := make(map[upstream.Life]placement.Load, len(totals.Loads))
	times := make(map[upstream.Life]pace.Times, len(totals.Loads))
	for key, l := range totals.Loads {
		life := upstream.Life{ID: upstream.ID(key.Instance), Start: key.Life}
		loads[life] = placement.Load{Running: l.Running, PrefillTokens: l.PrefillTokens, KVTokens: l.KVTokens, PauseWeight: l.PauseWeight, LongPrompts: l.LongPrompts}
		times[life] = pace.Times{Base: float64(l.BaseMs), Actual: float64(l.ActualMs)}
	}
	ls.loads.SetOthers(loads)
	ls.estimator.SetOthers(times)
	ls.inflows.SetOthers(decodeInflows(totals.Inflows), time.Now())
	shares := make(map[string]placement.Use, len(totals.Uses))
	for org, u := range totals.Uses {
		shares[org] = placement.Use{Asked: u.Asked, Got: u.Got}
	}
	ls.shares.SetOthers(shares)
	pauses := make(map[string]pace.Pauses, len(totals.Pauses))
	for service, p := range totals.Pauses {
		pauses[service] = decodePauses(p)
	}
	ls.estimator.SetOthersPauses(pauses)
}

// decodeInflows decodes the work that other routers assign to services. Implausible values are
// left out.
func decodeInflows(reported map[string]fleet.Inflow) map[string]placement.Inflow {
	decoded := make(map[string]placement.Inflow, len(reported))
	for service, f := range reported {
		if f.Rate > 0 && f.Rate < maxInflow && math.Abs(f.Unseen) < maxInflow && math.Abs(f.OverShare) < maxOverShare {
			decoded[service] = placement.Inflow{Rate: seconds(f.Rate), Unseen: seconds(f.Unseen), OverShare: max(0, f.OverShare)}
		}
	}
	return decoded
}

const (
	// maxInflow bounds a plausible inflow, in seconds of work: that of ten thousand instances.
	maxInflow = 10_000
	// maxOverShare bounds a plausible over-share rate, in requests a second: a hundred for each of
	// those instances.
	maxOverShare = 1_000_000
)

// maxZones bounds the evacuated and the restored zones that are accepted from a peer.
const maxZones = 1000

// MergeEvacuated merges the evacuated and the restored zones that another router reports.
func (ls *localState) MergeEvacuated(peer fleet.Member, zones []string, revision int64, restored []fleet.RestoredZone) {
	if len(zones) <= maxZones {
		ls.catalog.ReplaceEvacuations(zones, catalog.Revision(revision), "peer "+peer.Name)
	}
	if 0 < len(restored) && len(restored) <= maxZones {
		ls.catalog.MergeRestorations(decodeRestorations(restored, time.Now()), "peer "+peer.Name)
	}
}

// StoreContacted records when another router was in contact with the operators' store.
func (ls *localState) StoreContacted(since, until time.Time) {
	ls.catalog.MergeContact(catalog.Contact{Since: since, Until: until})
}

// PeerVersions queues a peer that has a newer configuration or list. The channel holds one: during
// a request further peers are not needed, and reports repeat.
//
// A peer with the same list confirms when it was current. Otherwise an unchanged list would look
// stale to all routers except those that read the store, and all of them would query it.
func (ls *localState) PeerVersions(r *fleet.Report, asOf time.Time) {
	ls.catalog.NotePeerVersion(r.Config)
	if asOf.IsZero() {
		return // the peer's next report can be dated
	}
	if own := int64(ls.catalog.InstancesRevision()); r.Instances == own || r.Instances > own && own >= r.ListSince && r.ListSince > 0 {
		ls.catalog.Confirm(catalog.Revision(r.Instances), asOf)
	}
	if !ls.lacks(r.Config, r.Instances) {
		return
	}
	select {
	case ls.newerPeers <- newerPeer{member: r.From, configVersion: r.Config, listRevision: r.Instances, asOf: asOf}:
	default:
	}
}

// lacks reports whether a peer with these versions has newer data. The revision of the list grows
// with every write to the store, so a newer list counts only once the own copy is stale.
func (ls *localState) lacks(config, instances int64) bool {
	if config > ls.catalog.Version() {
		return true
	}
	return instances > int64(ls.catalog.InstancesRevision()) && ls.catalog.InstancesAge(time.Now()) > fleet.StaleListAge
}
