package keeper

import (
	"maps"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/flamingowind/flamingowind/pkg/fair"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// Bounds of the keeper's caches.
const (
	maxPrefixes = 4096  // prompt prefixes with the upstream that served them last
	maxMarks    = 16384 // marks of upstreams, including those of other cells
	maxEnded    = 8192  // ended claims: minutes of a cell's work, while frames are seconds late at most
)

// Keeper grants the slots of one cell.
type Keeper struct {
	options     Options
	order       *fair.Order[*claim]
	expiry      expiryHeap
	upstreams   map[string]*upstream
	declared    []*upstream // in the configuration, sorted by name
	marks       *simplelru.LRU[string, wire.UpstreamMark]
	routers     map[wire.RouterID]*router
	slots       map[claimKey]*slot
	orgSlots    map[string]int
	ended       endedCache
	cooldown    crashCooldown
	prefixes    *simplelru.LRU[uint64, *upstream]
	completions rate
	headroom    headroom
	meanCost    wire.Units // moving average of the cost of served requests
	outbox      []Message
	grantCounts GrantCounts

	configured bool
	handedOver bool
	// takingOver is true from the start, or the end of a pause, until the routers have
	// reported.
	takingOver       bool
	takeoverDeadline time.Time
	// lastFirstReport is when a router's first Full report of this takeover last arrived.
	takeoverStart, lastFirstReport time.Time
	expectedRouters                map[wire.RouterID]bool
	lastNext                       time.Time
	nextSweep                      time.Time
	compareSpeedsAt                time.Time

	// draining is the upstream that gets no new work until drainingFor can run there alone.
	draining    *upstream
	drainingFor *claim
}

// New returns a keeper that is taking over the cell: it grants nothing until all alive
// routers have sent a Full report, those that take part in the cell have sent one, or
// Options.TakeoverTimeout has passed.
func New(o Options, alive []wire.RouterID, now time.Time) *Keeper {
	k := &Keeper{
		options:         o.withDefaults(),
		order:           fair.New[*claim](),
		upstreams:       make(map[string]*upstream),
		marks:           newLRU[string, wire.UpstreamMark](maxMarks),
		routers:         make(map[wire.RouterID]*router),
		slots:           make(map[claimKey]*slot),
		orgSlots:        make(map[string]int),
		ended:           newEndedCache(),
		cooldown:        newCrashCooldown(),
		prefixes:        newLRU[uint64, *upstream](maxPrefixes),
		expectedRouters: make(map[wire.RouterID]bool),
		lastNext:        now,
		meanCost:        initialMeanCost,
		headroom:        headroom{lastClaims: make(map[string]time.Time)},
	}
	for _, id := range alive {
		k.expectedRouters[id] = true
	}
	k.startTakeover(now)
	return k
}

// TakingOver reports whether the keeper still collects reports of running work and grants
// nothing.
func (k *Keeper) TakingOver() bool { return k.takingOver }

// Virtual returns an organisation's virtual counter.
func (k *Keeper) Virtual(org string) wire.Units { return k.order.Virtual(org) }

// Gap returns the largest difference between the virtual counters of backlogged
// organisations.
func (k *Keeper) Gap() wire.Units { return k.order.Gap() }

// Backlog returns the number of waiting claims.
func (k *Keeper) Backlog() int { return k.order.Len() }

// Slots returns the number of slots in use.
func (k *Keeper) Slots() int { return len(k.slots) }

// Spare returns the number of free slots, without those granted ahead and those reserved
// for urgent claims. It includes the headroom, which most organisations may use.
func (k *Keeper) Spare(now time.Time) int {
	if k.takingOver || k.handedOver {
		return 0
	}
	n := 0
	for _, u := range k.declared {
		n += u.free(now, 0)
	}
	return max(n-k.options.UrgentReserve, 0)
}

func newLRU[K comparable, V any](size int) *simplelru.LRU[K, V] {
	lru, err := simplelru.NewLRU[K, V](size, nil)
	if err != nil {
		panic(err) // only for a size of 0 or less
	}
	return lru
}

func sortedClaims(m map[wire.ClaimID]*claim) []*claim {
	list := make([]*claim, 0, len(m))
	for _, id := range slices.Sorted(maps.Keys(m)) {
		list = append(list, m[id])
	}
	return list
}

func sortedSlots[K comparable](m map[K]*slot) []*slot {
	return slices.SortedFunc(maps.Values(m), compareSlots)
}
