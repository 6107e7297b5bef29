package peer

import (
	"sync"
	"time"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// maxBatch bounds the messages in one frame.
const maxBatch = 512

// link is what this router holds for one peer: a queue and the connection in use. Its
// writer goroutine lives only while there is something to send, so an idle peer costs
// no goroutine for it.
type link struct {
	t    *Transport
	peer wire.RouterID

	mu       sync.Mutex
	queue    queue
	conn     *conn
	writing  bool
	evicted  bool
	failures int       // failed tries in a row
	retryAt  time.Time // no dial before
	lastUsed time.Time
	adopted  chan struct{} // closed when a connection comes up
	drained  chan struct{} // closed when the writer stops; nil while it doesn't run
}

func newLink(t *Transport, peer wire.RouterID) *link {
	return &link{t: t, peer: peer, queue: queue{limit: t.opts.MaxQueued}, adopted: make(chan struct{}), lastUsed: time.Now()}
}

// send queues m and starts the writer when it doesn't run.
func (l *link) send(m Message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.evicted {
		l.t.counters.undelivered.Add(1)
		return
	}
	l.lastUsed = time.Now()
	l.t.counters.dropped.Add(uint64(l.queue.push(m)))
	if l.writing {
		return
	}
	drained := make(chan struct{})
	if l.t.duties.start(l.write) {
		l.writing, l.drained = true, drained
	}
}

// write is the writer's duty: it sends until the queue is empty.
func (l *link) write() {
	for {
		l.t.pause(l.t.opts.Coalesce)
		c := l.connect()
		if c == nil {
			l.undeliverable()
		}
		batch := l.next()
		if batch == nil {
			return
		}
		if c != nil {
			l.writeBatch(c, batch)
		}
	}
}

// next takes a batch, or ends the writer when nothing waits.
func (l *link) next() []Message {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.queue.len() == 0 || l.t.ctx.Err() != nil {
		l.writing = false
		close(l.drained)
		l.drained = nil
		return nil
	}
	return l.queue.take(maxBatch)
}

// undeliverable drops what waits after a failed try to connect. Kept until the peer is
// back, the messages would only be old news then.
func (l *link) undeliverable() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.t.counters.undelivered.Add(uint64(l.queue.len()))
	l.queue.messages = nil
}

// idle gives a channel that is closed when nothing waits to be sent.
func (l *link) idle() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.drained != nil {
		return l.drained
	}
	done := make(chan struct{})
	close(done)
	return done
}

// pause waits for d, or until the transport closes.
func (t *Transport) pause(d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-t.ctx.Done():
	}
}
