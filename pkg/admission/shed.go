package admission

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// shedUntilReady sheds connections in batches while a connection would wait too long. Shedding them
// one by one after AcceptTCP would cost more: registering a connection with the runtime takes as
// much CPU as its refusal, and its request hasn't arrived yet. It returns a connection that arrived
// just as shedding ended, or nil.
func (l *Listener) shedUntilReady() *net.TCPConn {
	for l.mustShed() {
		l.link.waitForCapacity(l.now, l.isClosed.Load)
		first, open := l.shedPending(l.mustShed)
		if first >= 0 {
			return l.toTCPConn(first)
		}
		if !open {
			return nil // AcceptTCP returns the error
		}
		l.pauseBetweenBatches()
	}
	return nil
}

// pauseBetweenBatches yields the CPU. If the sleep ends on time, the CPU was idle.
func (l *Listener) pauseBetweenBatches() {
	began := l.now()
	time.Sleep(shedInterval)
	if slept := l.now().Sub(began); slept < 2*shedInterval {
		l.refuser.addIdleCPU(slept)
	}
}

// waitTooLong reports whether a connection would wait too long to be read.
func (l *Listener) waitTooLong() bool { return l.queue.estimatedWait(l.now()) > maxAdmissionWait }

// mustShed reports whether no connection is admitted now.
func (l *Listener) mustShed() bool { return l.waitTooLong() || l.handoverOn != nil && l.handoverOn() }

// shed hands over, refuses or closes an accepted connection: it is refused while the CPU budget
// allows it, and closed otherwise.
func (l *Listener) shed(c *net.TCPConn, now time.Time) {
	if l.handOverConn(c, now) {
		return
	}
	l.arrivals.countShed(1, now)
	if fd := descriptor(c); fd >= 0 && l.refuser.refuse(refusedConn{fd: fd, conn: c, acceptedAt: now}) {
		return
	}
	_ = c.Close() // nothing was read or will be sent
	l.closedCount.Add(1)
}

// descriptor returns the descriptor of c, negative when c is closed. It is used outside Control,
// because closing a connection within Control waits for that Control to end.
func descriptor(c *net.TCPConn) int {
	fd := -1
	raw, err := c.SyscallConn()
	if err != nil {
		return fd
	}
	_ = raw.Control(func(rawFD uintptr) { fd = int(rawFD) }) // fails for a closed connection: fd stays negative
	return fd
}

// shedPending sheds the connections that wait to be accepted: they are refused while the CPU budget
// allows it, and closed otherwise. It stops at the first connection that arrives after shouldShed
// turns false, and returns its socket, negative for none, and whether the listener is open.
//
// Left in the kernel's backlog, connections are old before they are accepted, and their callers
// wait for seconds without a response. An immediate close tells them that nothing was read, but not
// when to retry: they retry at once, so refusals come first.
func (l *Listener) shedPending(shouldShed func() bool) (first int, open bool) {
	began := l.now()
	l.refuser.observeCPU(began)
	batch := l.refuser.startBatch()
	refused, closed := 0, 0
	first = -1
	err := l.raw.Control(func(fd uintptr) {
		for range maxShedBatch {
			s, _, err := unix.Accept4(int(fd), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			if err == unix.ECONNABORTED || err == unix.EINTR {
				continue // the caller has disconnected, or a signal arrived
			}
			if err != nil {
				return // none waits, or Accept reports the error
			}
			if !shouldShed() {
				first = s
				return
			}
			if l.handOver != nil && l.handOver(s, began) {
				batch.hasOtherWork = true
				continue
			}
			if batch.refuse(refusedConn{fd: s, acceptedAt: began}) {
				refused++
				continue
			}
			_ = unix.Close(s) // nothing was read or will be sent
			closed++
		}
	})
	now := l.now()
	batch.end()
	l.arrivals.countShed(refused+closed, now)
	l.closedCount.Add(int64(closed))
	return first, err == nil
}

func always() bool { return true }
