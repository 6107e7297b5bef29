package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"golang.org/x/sys/unix"

	"github.com/flamingowind/flamingowind/internal/nowait"
)

const (
	// minDisconnectPollInterval is the minimum time between two polls: a fifth of the 500 ms within
	// which an upstream's work has to end after its caller's disconnect.
	minDisconnectPollInterval = 100 * time.Millisecond
	// disconnectBatchSize is the number of disconnects that one system call returns at most.
	disconnectBatchSize = 64
)

// disconnectWatcher cancels requests whose callers close their connections.
//
// Guard: the server reads each caller's connection in a goroutine beside the handler and cancels
// the request's context on close. On a host whose CPU is exhausted, that goroutine and the one
// that closes the upstream's connection wait in the scheduler's queue one after the other, behind
// up to 4,000 goroutines, and upstreams work for nobody for seconds. So whichever handler is
// running polls for all callers now and then, and cancels their requests itself.
type disconnectWatcher struct {
	// epoll is the descriptor that reports disconnects, negative if there is none. It stays open as
	// long as the process runs.
	epoll int

	mu        sync.Mutex
	cancelers map[int32]*canceler // by the ID of the caller's connection
	// ended is set once the process has given up the requests that still run.
	ended bool

	// lastPoll is the time of the last poll, in nanoseconds since start.
	lastPoll atomic.Int64
	start    time.Time
}

func newDisconnectWatcher(l log.Interface) *disconnectWatcher {
	fd, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		l.WithError(err).WithField("event", "departures_unheard").Warn("cannot watch callers' connections; only the HTTP server detects disconnects")
		fd = -1
	}
	return &disconnectWatcher{epoll: fd, cancelers: make(map[int32]*canceler), start: time.Now()}
}

// watch cancels r when its caller disconnects. The returned function ends the watch.
func (d *disconnectWatcher) watch(r *request) func() {
	c, ok := r.in.Context().Value(connKey{}).(*callerConn)
	if !ok || c.raw == nil {
		return func() {}
	}
	d.add(c.id, &r.canceler)
	if !c.watched && d.epoll >= 0 {
		// If the connection is already closed, the request's context ends anyway.
		_ = c.raw.Control(func(fd uintptr) { c.watched = d.subscribe(fd, c.id) })
	}
	return func() { d.remove(c.id) }
}

func (d *disconnectWatcher) add(connID int32, c *canceler) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cancelers[connID] = c
	if d.ended {
		c.cancelForStop()
	}
}

// endAll cancels all requests, because the process ends.
func (d *disconnectWatcher) endAll() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ended = true
	for _, c := range d.cancelers {
		c.cancelForStop()
	}
}

func (d *disconnectWatcher) remove(connID int32) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.cancelers, connID)
}

// subscribe makes epoll report the socket's close once, under the connection's ID: its descriptor
// may belong to another connection by the time the close is handled. The kernel drops a socket
// from epoll when this process closes it.
func (d *disconnectWatcher) subscribe(fd uintptr, connID int32) bool {
	interest := unix.EpollEvent{Events: unix.EPOLLRDHUP | unix.EPOLLET, Fd: connID}
	return unix.EpollCtl(d.epoll, unix.EPOLL_CTL_ADD, int(fd), &interest) == nil
}

// poll cancels the requests of callers that have disconnected, unless the last poll was just before.
func (d *disconnectWatcher) poll(now time.Time) {
	elapsed, last := int64(now.Sub(d.start)), d.lastPoll.Load()
	if elapsed-last < int64(minDisconnectPollInterval) || d.epoll < 0 || !d.lastPoll.CompareAndSwap(last, elapsed) {
		return
	}
	for d.pollBatch() == disconnectBatchSize {
	}
}

// pollBatch handles up to disconnectBatchSize disconnects and returns how many there were.
func (d *disconnectWatcher) pollBatch() int {
	var closes [disconnectBatchSize]unix.EpollEvent
	n, err := nowait.Events(d.epoll, closes[:])
	if err != nil {
		return 0 // the next poll finds them
	}
	for _, event := range closes[:n] {
		if c := d.lookup(event.Fd); c != nil {
			c.cancelForCaller()
		}
	}
	return n
}

func (d *disconnectWatcher) lookup(connID int32) *canceler {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cancelers[connID]
}
