package keeper

import (
	"maps"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/flamingowind/flamingowind/pkg/fair"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// Bounds of what is remembered.
const (
	maxPrefixes = 4096  // prompt prefixes with the upstream that served them last
	maxMarks    = 16384 // marks of upstreams, also of other cells
	maxRecent   = 8192  // ended claims: minutes of a cell's work, where frames are late by seconds
)

// Keeper orders one cell.
type Keeper struct {
	o         Options
	order     *fair.Order[*claim]
	expiry    expiry
	upstreams map[string]*upstream
	ranked    []*upstream // the declared ones by name
	marks     *simplelru.LRU[string, wire.UpstreamMark]
	routers   map[wire.RouterID]*router
	slots     map[key]*slot
	orgSlots  map[string]int
	recent    recent
	heldBack  heldBack
	prefixes  *simplelru.LRU[uint64, *upstream]
	drained   rate
	headroom  headroom
	mean      wire.Units // cost of settled requests
	outbox    []Out
	granted   Granted

	configured bool
	leaving    bool
	// settling is true from the start, or the end of a pause, until the routers reported.
	settling   bool
	settleEnds time.Time
	// settleBegan is when settling began, lastFull when a router's first Full report came.
	settleBegan, lastFull time.Time
	expected              map[wire.RouterID]bool
	lastNext              time.Time
	nextSweep             time.Time
	comparePacesAt        time.Time

	// emptied is the upstream that gets no new work until emptiedFor can run there alone.
	emptied    *upstream
	emptiedFor *claim
}

// New returns a keeper that settles: it grants nothing until all the alive routers sent
// a Full report, or those of them that take part in the cell did, or Options.Settle has
// passed.
func New(o Options, alive []wire.RouterID, now time.Time) *Keeper {
	k := &Keeper{
		o:         o.withDefaults(),
		order:     fair.New[*claim](),
		upstreams: make(map[string]*upstream),
		marks:     newLRU[string, wire.UpstreamMark](maxMarks),
		routers:   make(map[wire.RouterID]*router),
		slots:     make(map[key]*slot),
		orgSlots:  make(map[string]int),
		recent:    newRecent(),
		heldBack:  newHeldBack(),
		prefixes:  newLRU[uint64, *upstream](maxPrefixes),
		expected:  make(map[wire.RouterID]bool),
		lastNext:  now,
		mean:      firstMean,
		headroom:  headroom{claimed: make(map[string]time.Time)},
	}
	for _, id := range alive {
		k.expected[id] = true
	}
	k.settle(now)
	return k
}

// Settling says that the keeper still learns what runs and grants nothing.
func (k *Keeper) Settling() bool { return k.settling }

// Virtual returns an organisation's counter.
func (k *Keeper) Virtual(org string) wire.Units { return k.order.Virtual(org) }

// Gap returns the largest difference of counters among backlogged organisations.
func (k *Keeper) Gap() wire.Units { return k.order.Gap() }

// Backlog returns the number of waiting claims.
func (k *Keeper) Backlog() int { return k.order.Len() }

// Slots returns the number of slots in use.
func (k *Keeper) Slots() int { return len(k.slots) }

// Spare returns the number of free slots, without those granted ahead or in reserve. The
// headroom counts: most organisations may use it.
func (k *Keeper) Spare(now time.Time) int {
	if k.settling || k.leaving {
		return 0
	}
	n := 0
	for _, u := range k.ranked {
		n += u.free(now, 0)
	}
	return max(n-k.o.ReserveUrgent, 0)
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
