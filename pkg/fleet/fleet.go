package fleet

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/flamingowind/flamingowind/pkg/affinity"
	"github.com/flamingowind/flamingowind/pkg/buffers"
)

// Intervals and timeouts of the exchange.
const (
	// exchangeInterval is the time between two exchanges with one peer in a small fleet. It
	// bounds the age of a router's view of an engine's load, and is short compared with the
	// hundreds of milliseconds that a prefill takes.
	exchangeInterval = 80 * time.Millisecond
	// intervalPerPeer lengthens the interval in a larger fleet, so that a router's exchanges per
	// second do not grow with the fleet.
	intervalPerPeer = 10 * time.Millisecond
	// exchangeTimeout is the time after which an exchange is overdue. starvedTimeout applies to a
	// CPU-starved router: five times as long, as it waits for the CPU before each of several
	// steps.
	exchangeTimeout = 400 * time.Millisecond
	starvedTimeout  = 2 * time.Second
	// requestTimeout bounds one exchange, and maxInFlight the exchanges in flight with one peer:
	// one per second is begun with a peer that does not answer.
	requestTimeout = 5 * time.Second
	maxInFlight    = 6
	// aliveTimeout is how long after its last report a peer counts as alive.
	aliveTimeout = 1200 * time.Millisecond
	// forgetAfter is how long a silent peer is remembered. It may be partitioned and come back.
	forgetAfter = 60 * time.Second
	// maxRetryInterval bounds the backoff after failed exchanges.
	maxRetryInterval = time.Second
	// gossipEvery is the number of exchanges with a peer of which one names other routers.
	gossipEvery = 8
)

// Fleet is this router's view of the other routers.
type Fleet struct {
	self  Member
	local Local
	log   log.Interface
	// buffers bounds the memory for messages that are being read. Their senders aren't known yet.
	buffers *buffers.Budget
	// readTimeout bounds the time to read one message.
	readTimeout time.Duration

	mu     sync.Mutex
	secret []byte
	peers  map[string]*peer // by peer address
	// prefixLogs hold newly cached prefixes by scope: this router's own, its group's, all
	// routers'.
	prefixLogs [ScopeAll + 1]entryLog[CachedPrefix]
	// streamLogs hold the records of streams that this router and its group began.
	streamLogs [ScopeGroup + 1]entryLog[affinity.Record]
	// role is this router's current role.
	role role
	// starvedAt is when this router was last found CPU-starved, lastCheck when it last checked
	// which peers are due.
	starvedAt, lastCheck time.Time
	// plannedDelay is the planned time between the last check and the next; 0 for the usual one.
	plannedDelay time.Duration
	// hubReport is the work of all other routers as the hub last reported it, its uses as of
	// hubUsesAt.
	hubReport              *Report
	hubReportAt, hubUsesAt time.Time
	// roleSince is when this router's role or hub last changed.
	roleSince time.Time
	// rankKey is this router's key in the rank order, snapshot the newest membership snapshot,
	// and roleSnapshotAt the time of the snapshot that the role follows from.
	rankKey        rankKey
	snapshot       snapshot
	roleSnapshotAt time.Time
	// membership holds the routers that were alive when Membership was last called.
	membership Membership
	// sum is the total of the other routers' reports, as of sumAt.
	sum   Totals
	sumAt time.Time
	// peerView is the newest description of the other routers' lists of upstreams, as of peerViewAt.
	peerView   affinity.PeerView
	peerViewAt time.Time
	// memberLists are the member lists last sent, by scope.
	memberLists [ScopeAll + 1]memberList
	// publishDue is set when a report has arrived that is not yet in the totals passed to Local;
	// publishedAt is when these were last passed on.
	publishDue  bool
	publishedAt time.Time
	// startedAt is when this router started, lastWorkAt how long after that it last had work, in
	// nanoseconds of the monotonic clock; wake is signalled when work arrives after an idle
	// period.
	startedAt  time.Time
	lastWorkAt atomic.Int64
	// newRequests counts the requests that arrived since the last exchange with the hub was
	// begun.
	newRequests atomic.Int64
	wake        chan struct{}
}

// New returns a fleet that consists of this router alone.
func New(self Member, local Local, l log.Interface) *Fleet {
	return &Fleet{self: self, local: local, log: l, peers: make(map[string]*peer), role: role{direct: true},
		buffers: buffers.NewBudget(maxUnread), readTimeout: requestTimeout, rankKey: rankKeyOf(self), startedAt: time.Now(), wake: make(chan struct{}, 1)}
}

// SetSecret sets the secret that authenticates messages; without one nothing is exchanged.
func (f *Fleet) SetSecret(secret []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.secret = secret
}

// Secret returns the secret; nil before it is known.
func (f *Fleet) Secret() []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.secret
}

// AddMembers adds routers that were learnt of from the registry or from settings.
func (f *Fleet) AddMembers(list []Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range list {
		f.addMember(m)
	}
}

func (f *Fleet) addMember(m Member) *peer {
	if m.Peers == "" || m.Peers == f.self.Peers {
		return nil
	}
	p := f.peers[m.Peers]
	if p == nil {
		p = &peer{member: m, addedAt: time.Now()}
		f.peers[m.Peers] = p
		return p
	}
	// A router's own reports take precedence over what others say of it.
	if p.reportAt.IsZero() && m.Started > p.member.Started {
		p.member = m
	}
	return p
}

// Count is the number of routers that are alive, this one included.
func (f *Fleet) Count() int {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.snapshotAt(now).count
}

// Alive returns the other routers that are alive.
func (f *Fleet) Alive() []MemberState {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []MemberState
	for _, p := range f.peers {
		if p.alive(now) {
			list = append(list, p.state())
		}
	}
	return list
}

// countAlive returns how many routers of list are alive, this one included.
func (f *Fleet) countAlive(list []Member) int {
	alive := 0
	for _, m := range list {
		if f.isAlive(m.Peers) {
			alive++
		}
	}
	return alive
}

// isAlive reports whether the router at a peer address is alive.
func (f *Fleet) isAlive(addr string) bool {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.peers[addr]
	return addr == f.self.Peers || p != nil && p.alive(now)
}

// recentlyAliveTimeout is how long after a hub last listed a router it counts as recently alive.
const recentlyAliveTimeout = 2500 * time.Millisecond

// RecentlyAlive returns the other routers that callers may be referred to, and the number of
// known ones.
//
// A router in a large fleet that gets no CPU for half a second receives no reports in that time.
// If it listed only itself to its callers, they would all use it, and it would never catch up. A
// list that is a few seconds old serves them better.
func (f *Fleet) RecentlyAlive() (recent []MemberState, known int) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.peers {
		if p.reportedRecently(now) || !p.listedAt.IsZero() && now.Sub(p.listedAt) < recentlyAliveTimeout {
			recent = append(recent, p.state())
		}
	}
	return recent, len(f.peers)
}

// Self returns this router's own description.
func (f *Fleet) Self() Member { return f.self }

// Role is this router's role in the exchange, for operators: "direct", "hub", or the address of
// its hub.
func (f *Fleet) Role() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.role.name()
}

// Rank is this router's position among those alive, 0 for the first; routers with more CPU come
// first. All routers that receive each other's reports agree on the order.
func (f *Fleet) Rank() int {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.snapshotAt(now).rank
}
