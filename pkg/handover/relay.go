package handover

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"

	"github.com/flamingowind/flamingowind/pkg/traffic"
)

const (
	// pollInterval is the interval between two polls of the connections. It bounds the added
	// latency of a stream's events, and what arrives meanwhile is relayed together.
	pollInterval = 5 * time.Millisecond
	// maxPairs bounds the connections, each of which takes two descriptors. pairsPerCore bounds
	// those of a small host: handling their events takes half of its CPU.
	maxPairs     = 1000
	pairsPerCore = 2000
	// maxPollInterval bounds the interval between two polls that take long.
	maxPollInterval = 100 * time.Millisecond
	// maxEvents is the number of events returned by one system call.
	maxEvents = 256
	// bufferSize is the size of one read; more than most requests have. What the receiver doesn't accept of it is
	// held in memory: while all connections hold more than maxHeld, a read is as large as smallRead.
	bufferSize = 64 << 10
	maxHeld    = 4 << 20
	smallRead  = 4 << 10
	// connectTimeout is how long a router may take to accept a connection, maxAttempts the number
	// of routers that are tried for one caller.
	connectTimeout = 300 * time.Millisecond
	maxAttempts    = 3
	// requestTimeout is how long a caller may take to send the first bytes of its request.
	requestTimeout = 10 * time.Second
	// sweepInterval is the interval of checks for timeouts.
	sweepInterval = 100 * time.Millisecond
)

// Relay relays callers' connections to other routers.
type Relay struct {
	// targets returns the routers that accept connections now.
	targets func() []Target
	// refuse takes over a connection that no router accepted; nothing of its request was read.
	refuse func(fd int)
	epoll  int
	// alive reports whether the router at an address is known to run; nil where nothing tells it.
	alive func(addr string) bool
	// limit is the maximum number of connections.
	limit int

	// accepted counts connections, failed those of them that no router accepted.
	accepted, failed atomic.Int64
	// meter counts relayed bytes, once when received and once when sent.
	meter traffic.Meter

	mu sync.Mutex
	// pairs holds each pair under the descriptors of both of its sockets.
	pairs map[int32]*pair
	// unfinished holds the pairs whose transfer goes on in the next poll without an event.
	unfinished []*pair
	// held is the number of bytes that all pairs hold for receivers that are slow.
	held int
	// targetStates is keyed by the router's address.
	targetStates map[string]*targetState
	// minConfig is the newest configuration version of any router that connections were relayed to.
	minConfig int64
	buf       []byte
	events    []unix.EpollEvent
	// drained holds the events of the current poll.
	drained       []pairEvent
	pollScheduled bool
	isClosed      bool
	// isDraining is set when no further request is relayed.
	isDraining bool
	// lastPollTime is how long the last poll took: when CPU is scarce, polls are spaced out so that
	// each moves more.
	lastPollTime time.Duration
	// lastSweep is when timeouts were last checked.
	lastSweep time.Time
}

// NewRelay returns a relay to targets, for a host that gives the process the given number of cores;
// 0 means unknown. refuse takes over the sockets of callers that no router accepted.
func NewRelay(cores float64, targets func() []Target, refuse func(fd int)) (*Relay, error) {
	epoll, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &Relay{limit: maxPairsFor(cores), targets: targets, refuse: refuse, epoll: epoll, pairs: make(map[int32]*pair), targetStates: make(map[string]*targetState)}, nil
}

// Traffic returns the bytes relayed so far.
func (r *Relay) Traffic() traffic.Bytes { return r.meter.Total() }

// HandOver relays a caller's connection of which nothing was read, and takes ownership of its
// descriptor. It returns false when it can't, and then leaves the connection untouched.
func (r *Relay) HandOver(fd int, now time.Time) bool {
	waiting, open := peekBytes(fd)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isClosed || r.isDraining || !open || len(r.pairs) >= 2*r.limit {
		return false
	}
	p := &pair{caller: fd, peer: -1, acceptedAt: now}
	if waiting && !r.connectPeer(p, now) || !waiting && len(r.eligible("", now)) == 0 {
		return false
	}
	if !r.watch(fd, p) {
		r.forget(p)
		return false
	}
	r.accepted.Add(1)
	r.schedulePoll()
	return true
}

// watch registers a socket with epoll and records its pair.
func (r *Relay) watch(fd int, p *pair) bool {
	want := unix.EpollEvent{Events: unix.EPOLLIN | unix.EPOLLOUT | unix.EPOLLRDHUP | unix.EPOLLET, Fd: int32(fd)}
	if unix.EpollCtl(r.epoll, unix.EPOLL_CTL_ADD, fd, &want) != nil {
		return false
	}
	r.pairs[int32(fd)] = p
	return true
}

// schedulePoll schedules a poll if connections are open.
func (r *Relay) schedulePoll() {
	if r.pollScheduled || len(r.pairs) == 0 {
		return
	}
	r.pollScheduled = true
	time.AfterFunc(max(pollInterval, min(maxPollInterval, r.lastPollTime)), r.poll)
}

// poll handles all pending events and expired timeouts.
func (r *Relay) poll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isClosed {
		return // its epoll descriptor may be another one's now, whose events would be lost
	}
	began := time.Now()
	if r.buf == nil {
		r.buf, r.events = make([]byte, bufferSize), make([]unix.EpollEvent, maxEvents)
	}
	resumed := r.unfinished
	r.unfinished = nil
	for _, e := range r.drainEvents() {
		if r.pairs[e.event.Fd] == e.pair {
			r.handleEvent(e.pair, e.event, time.Now())
		}
	}
	r.resume(resumed)
	now := time.Now()
	if now.Sub(r.lastSweep) >= sweepInterval {
		r.lastSweep = now
		r.sweep(now)
	}
	r.lastPollTime = now.Sub(began)
	r.pollScheduled = false
	r.schedulePoll()
}

// handleEvent continues p after an event on one of its sockets.
func (r *Relay) handleEvent(p *pair, e unix.EpollEvent, now time.Time) {
	if p.peer < 0 {
		r.connectOnRequest(p, now)
		return
	}
	if !p.connected {
		r.checkConnect(p, e, now)
		return
	}
	r.transfer(p, now)
}

// connectOnRequest connects to a router once the caller has sent bytes.
func (r *Relay) connectOnRequest(p *pair, now time.Time) {
	waiting, open := peekBytes(p.caller)
	switch {
	case !open:
		r.finish(p, closed)
	case waiting && (r.isDraining || !r.connectPeer(p, now)):
		r.refuseCaller(p)
	}
}

// checkConnect checks whether the connection to the router is established or has failed.
func (r *Relay) checkConnect(p *pair, e unix.EpollEvent, now time.Time) {
	if int(e.Fd) != p.peer {
		if _, open := peekBytes(p.caller); !open {
			r.finish(p, closed) // the caller has disconnected
		}
		return
	}
	if e.Events&(unix.EPOLLERR|unix.EPOLLHUP) != 0 || socketError(p.peer) != nil {
		r.retryConnect(p, now)
		return
	}
	if e.Events&unix.EPOLLOUT != 0 {
		p.connected = true
		r.transfer(p, now)
	}
}

// retryConnect connects to another router after a failed attempt; nothing was sent on it.
func (r *Relay) retryConnect(p *pair, now time.Time) {
	r.closePeer(p)
	p.peerClosed = false
	if !r.connectPeer(p, now) {
		r.refuseCaller(p)
	}
}

// refuseCaller leaves the caller to refuse: nothing of its request was read.
func (r *Relay) refuseCaller(p *pair) {
	r.failed.Add(1)
	r.forget(p)
	// An error can be ignored: the kernel removes the socket from epoll once it is closed.
	_ = unix.EpollCtl(r.epoll, unix.EPOLL_CTL_DEL, p.caller, nil)
	r.refuse(p.caller)
}

// sweep ends connections whose timeout has expired.
func (r *Relay) sweep(now time.Time) {
	gone := r.goneTargets(now)
	for fd, p := range r.pairs {
		switch {
		case int(fd) != p.caller:
		case p.connected && gone[p.target]:
			r.finish(p, broken)
		case p.connected:
		case p.peer < 0 && now.Sub(p.acceptedAt) >= requestTimeout:
			r.finish(p, closed)
		case p.peer >= 0 && now.Sub(p.connectStarted) >= connectTimeout:
			r.retryConnect(p, now)
		}
	}
}

// Drain makes the relay take no more connections and refuse those whose request hasn't begun. Others go on
// until Close.
//
// Guard: a router that leaves and has no CPU to spare hands over what it accepts to its end. It cuts what
// it relays as it ends, although the other router serves on.
func (r *Relay) Drain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isDraining = true
}

// Close resets all connections and accepts no more.
func (r *Relay) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isClosed = true
	for fd, p := range r.pairs {
		if int(fd) == p.caller {
			r.finish(p, broken)
		}
	}
	_ = unix.Close(r.epoll)
}
