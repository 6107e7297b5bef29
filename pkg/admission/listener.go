package admission

import (
	"net"
	"runtime"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

const (
	// mostWait is the longest wait for the processor that a connection is let in to. Hosts
	// whose share is a quota of each tenth of a second stand still for up to 90 ms, and the
	// shortest objectives of streams are 300 ms.
	mostWait = 150 * time.Millisecond
	// tooLate is the wait after which a connection that was let in is turned away after all.
	tooLate = 2 * mostWait
	// turnsPerThread is how many connections have their turn at once for each thread: enough
	// that one which waits for bytes doesn't leave the processor idle.
	turnsPerThread = 4
	// backlog is how many connections may wait to be accepted. The kernel drops the opening
	// packets of further ones, which costs this process nothing: more than can be accepted
	// in a quarter of a second would be old before their turn.
	backlog = 256
	// fullPause is the pause while no more connections can be turned away.
	fullPause = 20 * time.Millisecond
)

// Listener accepts connections for a server, and turns away those that would wait too long
// for the processor.
type Listener struct {
	tcp     *net.TCPListener
	raw     rawListener
	queue   *queue
	load    load
	refuser refuser
}

// rawListener gives the listening socket.
type rawListener interface {
	Control(func(fd uintptr)) error
}

// New returns a listener for the connections that come to tcp. refusal gives the whole answer
// to those that are turned away, with the time after which they should come back.
func New(tcp *net.TCPListener, refusal func(after time.Duration) []byte) (*Listener, error) {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, errors.Trace(err)
	}
	if err := shorten(raw); err != nil {
		return nil, errors.Trace(err)
	}
	l := &Listener{tcp: tcp, raw: raw, queue: newQueue(turnsPerThread * runtime.GOMAXPROCS(0))}
	l.refuser.refusal = func(now time.Time) []byte { return refusal(l.load.pause(now)) }
	return l, nil
}

// shorten bounds the connections that wait to be accepted.
func shorten(raw rawListener) error {
	var failed error
	err := raw.Control(func(fd uintptr) { failed = unix.Listen(int(fd), backlog) })
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(failed)
}

// Accept gives the next connection that is let in.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		for l.refuser.full() {
			time.Sleep(fullPause)
		}
		c, err := l.tcp.AcceptTCP()
		if err != nil {
			return nil, err // as the server expects it
		}
		now := time.Now()
		if l.queue.wait(now) <= mostWait {
			l.load.note(false, now)
			return &Conn{TCPConn: c, listener: l, ticket: l.queue.admit(now)}, nil
		}
		l.turnAway(c, now)
		l.turnAwayWaiting()
	}
}

// turnAway turns away a connection that was accepted.
func (l *Listener) turnAway(c *net.TCPConn, now time.Time) {
	raw, err := c.SyscallConn()
	if err != nil {
		return // closed
	}
	// Control fails on a closed connection only.
	_ = raw.Control(func(fd uintptr) { l.refuse(refused{fd: int(fd), conn: c, since: now}) })
}

func (l *Listener) refuse(r refused) {
	l.load.note(true, r.since)
	l.refuser.add(r)
}

// turnAwayWaiting turns away what waits to be accepted.
func (l *Listener) turnAwayWaiting() {
	// Control fails on a closed listener only, which Accept tells.
	_ = l.raw.Control(func(fd uintptr) {
		for !l.refuser.full() {
			s, _, err := unix.Accept4(int(fd), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			if err != nil {
				return // none waits, or Accept meets the error again
			}
			l.refuse(refused{fd: s, since: time.Now()})
		}
	})
}

// Wait is how long a connection would wait for the processor now.
func (l *Listener) Wait() time.Duration { return l.queue.wait(time.Now()) }

// TurnedAway counts the connections that were turned away so far.
func (l *Listener) TurnedAway() int64 { return l.refuser.count.Load() }

// Close stops listening.
func (l *Listener) Close() error {
	l.refuser.close()
	return errors.Trace(l.tcp.Close())
}

// Addr is the address that is listened at.
func (l *Listener) Addr() net.Addr { return l.tcp.Addr() }
