package fleet

import (
	"github.com/flamingowind/flamingowind/pkg/affinity"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// Report is the state that a router sends to another.
type Report struct {
	From Member `cbor:"1,keyasint"`
	// Ready says that callers may be sent to the router.
	Ready bool `cbor:"2,keyasint,omitempty"`
	// Loads is the work in flight.
	Loads []InstanceLoad `cbor:"3,keyasint,omitempty"`
	// Uses is the traffic that organisations request and receive.
	Uses []Use `cbor:"4,keyasint,omitempty"`
	// Prefixes are the newest entries of the sender's prefix log, up to number LastSeq.
	Prefixes []CachedPrefix `cbor:"5,keyasint,omitempty"`
	LastSeq  uint64         `cbor:"6,keyasint,omitempty"`
	// AckSeq is the number of the last entry of the receiver's prefix log that the sender has,
	// and AckLife the life of the receiver in which it was numbered.
	AckSeq  uint64 `cbor:"7,keyasint,omitempty"`
	AckLife int64  `cbor:"8,keyasint,omitempty"`
	// Others are other routers that are alive; AskOthers asks for those that the receiver knows.
	Others    []Member `cbor:"9,keyasint,omitempty"`
	AskOthers bool     `cbor:"13,keyasint,omitempty"`
	// Config is the version of the configuration in use, Instances the revision of the list of
	// upstreams.
	Config    int64 `cbor:"10,keyasint,omitempty"`
	Instances int64 `cbor:"11,keyasint,omitempty"`
	// ListAgeMs is how long ago that list was last known to be current, in milliseconds.
	ListAgeMs int64 `cbor:"21,keyasint,omitempty"`
	// Suspects are the suspicions that requests crash upstreams which changed at the sender after number
	// SuspectsAfter, up to number LastSuspect. AckSuspect is the number of the last change of the
	// receiver that the sender has, in the receiver's life AckLife.
	Suspects      []wire.Suspicion `cbor:"12,keyasint,omitempty"`
	SuspectsAfter uint64           `cbor:"42,keyasint,omitempty"`
	LastSuspect   uint64           `cbor:"43,keyasint,omitempty"`
	AckSuspect    uint64           `cbor:"44,keyasint,omitempty"`
	// Pauses are the pauses of streams at the engines of services.
	Pauses []Pauses `cbor:"23,keyasint,omitempty"`
	// CPUStarved says that the router gets too little CPU for its requests.
	CPUStarved bool `cbor:"22,keyasint,omitempty"`
	// Inflows are the rates at which the routers assign work to the instances of services.
	Inflows []Inflow `cbor:"24,keyasint,omitempty"`
	// Scope says whose work Loads and Uses describe. AskAll makes the receiver the sender's hub:
	// it counts the sender in its group and answers with the totals of all routers.
	Scope  Scope `cbor:"14,keyasint,omitempty"`
	AskAll bool  `cbor:"15,keyasint,omitempty"`
	// PrefixScope is the scope of the log that Prefixes come from, AckScope that of AckSeq.
	PrefixScope Scope `cbor:"16,keyasint,omitempty"`
	AckScope    Scope `cbor:"17,keyasint,omitempty"`
	// Members are the routers of the scope; left out when the receiver has the list with this
	// Digest already. AckDigest is the digest of the list that the sender has from the receiver.
	Members   []MemberState `cbor:"18,keyasint,omitempty"`
	Digest    uint64        `cbor:"19,keyasint,omitempty"`
	AckDigest uint64        `cbor:"20,keyasint,omitempty"`
	// IntervalMs is the time until the sender's next report in milliseconds, where it is longer
	// than that of a router with work.
	IntervalMs int64 `cbor:"25,keyasint,omitempty"`
	// Evacuated are the availability zones whose upstreams are assigned no work, as of revision
	// EvacuatedAt of the store; 0 while the sender does not know.
	Evacuated   []string `cbor:"26,keyasint,omitempty"`
	EvacuatedAt int64    `cbor:"27,keyasint,omitempty"`
	// Restored are the zones whose evacuation ended recently.
	Restored []RestoredZone `cbor:"28,keyasint,omitempty"`
	// Store is the newest contact with the operators' store that the sender knows of; nil for
	// none.
	Store *StoreContact `cbor:"29,keyasint,omitempty"`
	// Clock is the sender's monotonic clock in milliseconds since it started. Echo is the newest
	// clock value that it has received from the receiver, in the receiver's life AckLife; 0 for
	// none.
	Clock int64 `cbor:"30,keyasint,omitempty"`
	Echo  int64 `cbor:"31,keyasint,omitempty"`
	// ConfigDigest tells different documents with the same version Config apart. ListSince is the
	// oldest revision from which on the list has been the same as at Instances.
	ConfigDigest uint64 `cbor:"32,keyasint,omitempty"`
	ListSince    int64  `cbor:"33,keyasint,omitempty"`
	// Update is what the receiver lacks of the sender's configuration and list.
	Update *CatalogUpdate `cbor:"34,keyasint,omitempty"`
	// RecordsStreams says that the sender's build records at which software version streams begin;
	// AllRecord says so of all routers in the scope.
	RecordsStreams bool `cbor:"35,keyasint,omitempty"`
	AllRecord      bool `cbor:"36,keyasint,omitempty"`
	// RegistersVersions says that the sender's build begins no stream at a software version before the store's
	// register has it; AllRegister says so of all routers in the scope.
	RegistersVersions bool `cbor:"46,keyasint,omitempty"`
	AllRegister       bool `cbor:"47,keyasint,omitempty"`
	// ListFloor is the lowest revision of the lists of upstreams of the routers in the scope; 0 while
	// some are not known.
	ListFloor int64 `cbor:"37,keyasint,omitempty"`
	// Software are the software versions of services that the sender knows.
	Software *affinity.Statement `cbor:"38,keyasint,omitempty"`
	// Streams are the newest entries of the sender's log of streams, up to number LastStream; AckStream
	// is the number of the last entry of the receiver's log that the sender has. The logs' scopes are
	// PrefixScope and AckScope.
	Streams    []affinity.Record `cbor:"39,keyasint,omitempty"`
	LastStream uint64            `cbor:"40,keyasint,omitempty"`
	AckStream  uint64            `cbor:"41,keyasint,omitempty"`
	// MissesRouters says that the sender remembers a router that is silent.
	MissesRouters bool `cbor:"48,keyasint,omitempty"`
	// Leaving are upstreams that announced that they leave, as far as the list doesn't say so yet.
	Leaving []LeavingUpstream `cbor:"45,keyasint,omitempty"`
}

// LeavingUpstream is an upstream that announced in its current life that it leaves.
type LeavingUpstream struct {
	Instance string `cbor:"1,keyasint"`
	// Life identifies the upstream's life, see InstanceLoad.
	Life uint32 `cbor:"2,keyasint,omitempty"`
	// AgeMs is how long ago a router read the announcement, in milliseconds.
	AgeMs int64 `cbor:"3,keyasint,omitempty"`
}

// RestoredZone is an availability zone that is no longer evacuated.
type RestoredZone struct {
	Zone string `cbor:"1,keyasint"`
	// Revision is the store's revision that the sender knows this from, AgeMs how long ago that
	// was, in milliseconds.
	Revision int64 `cbor:"2,keyasint"`
	AgeMs    int64 `cbor:"3,keyasint,omitempty"`
}

// Scope says whose work a report describes.
type Scope uint8

// Scopes of reports.
const (
	// ScopeOwn is the sender's own work.
	ScopeOwn Scope = iota
	// ScopeGroup is the work of the sender and of the members whose hub it is.
	ScopeGroup
	// ScopeAll is the work of all routers but the receiver.
	ScopeAll
)

// MemberState is a router's state as its hub knows it.
type MemberState struct {
	Member Member `cbor:"1,keyasint"`
	Ready  bool   `cbor:"2,keyasint,omitempty"`
	// CPUStarved says that it gets too little CPU for its requests.
	CPUStarved bool `cbor:"3,keyasint,omitempty"`
	// Config is the version of the configuration in use, as last reported.
	Config int64 `cbor:"4,keyasint,omitempty"`
}

// InstanceLoad is the work in flight on one instance in one of its lives.
type InstanceLoad struct {
	Instance      string `cbor:"1,keyasint"`
	Running       int    `cbor:"2,keyasint"`
	PrefillTokens int    `cbor:"3,keyasint,omitempty"`
	KVTokens      int    `cbor:"4,keyasint,omitempty"`
	// Life identifies the instance's life, as upstream.Life does: work in an earlier one is no
	// load of the current one.
	Life uint32 `cbor:"5,keyasint,omitempty"`
	// PauseWeight is the weight of the streams that a long pause would make late, LongPrompts the
	// number of prompts still to prefill that cause such a pause.
	PauseWeight int `cbor:"6,keyasint,omitempty"`
	LongPrompts int `cbor:"7,keyasint,omitempty"`
	// BaseMs and ActualMs are the sums of the expected and the actual prefill times over
	// the last seconds, in milliseconds.
	BaseMs   int `cbor:"8,keyasint,omitempty"`
	ActualMs int `cbor:"9,keyasint,omitempty"`
}

// empty reports whether the load carries no information.
func (l InstanceLoad) empty() bool { return l.Running <= 0 && l.BaseMs <= 0 }

// Pauses are pauses of streams at the engines of a service while prompts were prefilled there.
type Pauses struct {
	Service string `cbor:"1,keyasint"`
	// Ms is the sum of the pauses in milliseconds and Count their number, by bucket of prefill
	// time.
	Ms    []int `cbor:"2,keyasint"`
	Count []int `cbor:"3,keyasint"`
}

// plus returns p with the pauses o added sign times.
func (p Pauses) plus(o Pauses, sign int) Pauses {
	return Pauses{Service: o.Service, Ms: sums(p.Ms, o.Ms, sign), Count: sums(p.Count, o.Count, sign)}
}

func sums(a, b []int, sign int) []int {
	total := make([]int, max(len(a), len(b)))
	copy(total, a)
	for i, n := range b {
		total[i] += sign * n
	}
	return total
}

// Inflow is the rate at which routers assign work to the instances of a service. Work is measured
// by the time that it adds to the instances' costs.
type Inflow struct {
	Service string `cbor:"1,keyasint"`
	// Rate is the work assigned per second, in seconds.
	Rate float64 `cbor:"2,keyasint"`
	// Unseen is the work assigned since the report's loads were counted, in seconds; 0 for a
	// router's own work.
	Unseen float64 `cbor:"3,keyasint,omitempty"`
	// OverShare is the number of requests per second of organisations over their fair share.
	OverShare float64 `cbor:"4,keyasint,omitempty"`
}

// Use is an organisation's traffic at one router, in tokens per second.
type Use struct {
	Organisation string  `cbor:"1,keyasint"`
	Asked        float64 `cbor:"2,keyasint"`
	Got          float64 `cbor:"3,keyasint"`
}

// CachedPrefix says that an engine has prefilled the beginning of a prompt.
type CachedPrefix struct {
	Key      uint64 `cbor:"1,keyasint"`
	Instance string `cbor:"2,keyasint"`
	// Life is the instance's life in which it did so, see InstanceLoad.
	Life uint32 `cbor:"3,keyasint,omitempty"`
}
