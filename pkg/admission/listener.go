package admission

import (
	"net"
	"os"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"

	"github.com/flamingowind/flamingowind/internal/nowait"
	"github.com/flamingowind/flamingowind/pkg/connlimit"
	"github.com/flamingowind/flamingowind/pkg/returntime"
	"github.com/flamingowind/flamingowind/pkg/traffic"
)

const (
	// maxAdmissionWait is the longest estimated wait at which connections are admitted. A quota per
	// tenth of a second stalls the process for up to 90 ms, and the shortest stream objectives are
	// 300 ms.
	maxAdmissionWait = 150 * time.Millisecond
	// maxReadWait is the wait for a read slot after which an admitted connection is shed after all.
	maxReadWait = 2 * maxAdmissionWait
	// readSlotsPerThread is the number of read slots per thread: enough that a connection which
	// waits for bytes doesn't leave the CPU idle.
	readSlotsPerThread = 4
	// minIdleAccept is the duration from which on a call of accept counts as having waited for a
	// connection.
	minIdleAccept = 2 * time.Millisecond
	// maxShedBatch bounds the connections that are shed in one batch, so that admitted ones get the
	// CPU.
	maxShedBatch = 1024
	// shedInterval is the pause between two such batches while no connection is admitted.
	shedInterval = 10 * time.Millisecond
)

// Listener accepts connections for a server, and sheds those that would wait too long to be read.
type Listener struct {
	tcp      *net.TCPListener
	raw      rawListener
	queue    *queue
	rounds   rounds
	arrivals arrivals
	refuser  refuser
	// now returns the time, yield gives the CPU to other goroutines.
	now   func() time.Time
	yield func()
	// handOver passes a socket on to another router and reports whether it did, handoverOn reports
	// whether that should be tried before connections are admitted. Both are nil when handover is
	// disabled.
	handOver   func(fd int, now time.Time) bool
	handoverOn func() bool
	// meter counts the bytes of all connections, refused ones included.
	meter traffic.Meter
	// admittedCount counts admitted connections, closedCount those that were closed without a
	// response.
	admittedCount atomic.Int64
	closedCount   atomic.Int64
	// objective returns the shortest objective of the requests that arrive; 0 while it isn't known.
	objective func() time.Duration
	// group limits the connections; nil for no limits.
	group *connlimit.Group
	// peeked is the buffer for looks at what has arrived; it belongs to the goroutine that calls Accept.
	peeked []byte
	// link is nil when its speed isn't known, isClosed is set once the listener is closed.
	link     *Link
	isClosed atomic.Bool
}

// rawListener gives access to the listening socket.
type rawListener interface {
	Control(func(fd uintptr)) error
}

// New returns a listener that admits connections from tcp, on a host that gives the process the
// given number of cores; 0 means unknown. refusal returns the complete response to a refused
// connection, with the time after which its caller should retry.
func New(tcp *net.TCPListener, cores float64, refusal func(after time.Duration) []byte) (*Listener, error) {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, errors.Trace(err)
	}
	l := &Listener{tcp: tcp, raw: raw, queue: newQueue(readSlotsPerThread * runtime.GOMAXPROCS(0)), now: time.Now, yield: runtime.Gosched}
	l.rounds.size = initialRoundSize
	l.refuser.budget, l.refuser.processCPU, l.refuser.threadCPU = newRefusalBudget(cores), nowait.ProcessorTime, nowait.ThreadTime
	l.refuser.meter = &l.meter
	l.objective = func() time.Duration { return 0 }
	l.refuser.refusal = func(now time.Time) []byte {
		return refusal(returntime.Within(l.objective(), l.arrivals.retryAfter(now)))
	}
	return l, nil
}

// Accept returns the next admitted connection.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		l.link.waitForCapacity(l.now, l.isClosed.Load)
		l.endRound()
		if c := l.shedUntilReady(); c != nil {
			if admitted := l.admit(c, l.now()); admitted != nil {
				return admitted, nil
			}
			continue
		}
		before := l.now()
		c, err := l.tcp.AcceptTCP()
		if err != nil {
			return nil, err // unwrapped, as net/http expects it
		}
		now := l.now()
		if now.Sub(before) > minIdleAccept && !l.hasPending() {
			l.noteIdle(now)
		}
		if l.queue.estimatedWait(now) > maxAdmissionWait {
			l.shed(c, now)
			continue
		}
		if admitted := l.admit(c, now); admitted != nil {
			return admitted, nil
		}
	}
}

// admit adds an accepted connection to the queue for a read slot. One that exceeds the limits is shed, and nil returned.
func (l *Listener) admit(c *net.TCPConn, now time.Time) *Conn {
	entry, ok := l.group.Admit(c)
	if !ok && l.hasCompleteRequest(c) {
		// Guard: clients that return as often as they are closed fill the places for unfinished requests again and
		// again, and nearly every other caller would be refused.
		entry, ok = l.group.AdmitComplete(c)
	}
	if !ok {
		l.shed(c, now)
		return nil
	}
	l.rounds.countAdmitted()
	l.admittedCount.Add(1)
	l.arrivals.countAdmitted(now)
	return &Conn{TCPConn: c, listener: l, entry: entry, waiter: l.queue.admit(now)}
}

// hasCompleteRequest reports whether a complete request has arrived on a connection.
func (l *Listener) hasCompleteRequest(c *net.TCPConn) bool {
	if l.peeked == nil {
		l.peeked = make([]byte, firstFlight)
	}
	fd := descriptor(c)
	if fd < 0 {
		return false
	}
	n, _, err := unix.Recvfrom(fd, l.peeked, unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return err == nil && isCompleteRequest(l.peeked[:n])
}

// SetGroup limits the connections by a group; it must be called before the first Accept.
func (l *Listener) SetGroup(g *connlimit.Group) { l.group = g }

// SetMaxRefusals bounds the connections that are being refused at the same time; 0 stands for the default.
func (l *Listener) SetMaxRefusals(n int) { l.refuser.setMaxPending(n) }

// refuseBegun refuses a connection of which a part of a request was read, or closes it.
func (l *Listener) refuseBegun(c *net.TCPConn) {
	if fd := descriptor(c); fd >= 0 && l.refuser.refuse(refusedConn{fd: fd, conn: c, acceptedAt: l.now(), begun: true}) {
		return
	}
	_ = c.Close() // the caller is sent nothing
	l.closedCount.Add(1)
}

// toTCPConn registers an accepted socket with the runtime; it returns nil when that fails.
func (l *Listener) toTCPConn(fd int) *net.TCPConn {
	file := os.NewFile(uintptr(fd), "")
	defer file.Close() // the connection has a descriptor of its own
	c, err := net.FileConn(file)
	if err != nil {
		l.closedCount.Add(1) // the caller has disconnected, or no descriptor is left
		return nil
	}
	return c.(*net.TCPConn)
}

// endRound yields the CPU to other goroutines once enough connections were admitted.
//
// Without rounds, the accept loop takes everything in the kernel's backlog at once. Thousands of
// goroutines then wait for the scheduler, each for longer than its caller does, before the first of
// them shows how long that takes.
func (l *Listener) endRound() {
	if !l.rounds.full() {
		return
	}
	if l.rounds.overloaded(l.now()) {
		l.shedPending(always)
	}
	began := l.now()
	l.yield()
	now := l.now()
	l.rounds.perQuotaPeriod = l.arrivals.admittedPerPeriod(now)
	l.rounds.startNext(now.Sub(began), now)
	l.refuser.observeCPU(now)
}

// hasPending reports whether connections wait to be accepted.
//
// A process that is stalled, as under a CPU quota, seems to have waited for a connection all that
// time although many arrived. Taken for idle, the router forgets that it is overloaded, slow rounds
// shed no connections, and many callers get no response.
func (l *Listener) hasPending() bool {
	pending := false
	// Control fails only on a closed listener, which Accept reports.
	_ = l.raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(fds, 0)
		pending = err == nil && n > 0
	})
	return pending
}

// noteIdle records that no connection waited to be accepted. Once none waits to be read either, the
// last round is forgotten: it would shed part of the next burst on a host that is idle by then.
func (l *Listener) noteIdle(now time.Time) {
	l.rounds.restart()
	if l.queue.resetIfIdle() {
		l.rounds.reset()
		l.refuser.refill(now)
	}
}

// Close stops listening and ends pending refusals.
func (l *Listener) Close() error {
	l.isClosed.Store(true)
	l.refuser.close()
	return errors.Trace(l.tcp.Close())
}

// Addr returns the listening address.
func (l *Listener) Addr() net.Addr { return l.tcp.Addr() }
