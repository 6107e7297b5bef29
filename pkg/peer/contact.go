package peer

import (
	"sync"
	"time"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// Bounds of first contacts.
const (
	maxContacts       = 64 // addresses
	maxContactMessage = 16 // messages that wait for one address
)

// contact is an address whose router isn't known yet.
type contact struct {
	t    *Transport
	addr string

	mu       sync.Mutex
	queue    queue
	dialling bool
	failures int
	retryAt  time.Time
	peer     wire.RouterID // who answered there last
}

// contactFor gives the contact of an address; nil when too many are being dialled or
// the transport closes.
func (t *Transport) contactFor(addr string) *contact {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closing {
		return nil
	}
	if c, ok := t.contacts[addr]; ok {
		return c
	}
	if len(t.contacts) >= maxContacts && !t.forgetContact() {
		return nil
	}
	c := &contact{t: t, addr: addr, queue: queue{limit: maxContactMessage}}
	t.contacts[addr] = c
	return c
}

// send queues m until the address has answered; a message to a known router that is
// connected goes there directly.
func (c *contact) send(m Message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.peer == c.t.opts.ID {
		return
	}
	if c.peer != "" && c.t.connected(c.peer, c.addr) {
		c.t.Send(c.peer, m)
		return
	}
	c.t.counters.dropped.Add(uint64(c.queue.push(m)))
	if !c.dialling {
		c.dialling = c.t.duties.start(c.dial)
	}
}

// dial tries the address once and passes the waiting messages on.
func (c *contact) dial() {
	c.mu.Lock()
	wait := time.Until(c.retryAt)
	c.mu.Unlock()
	c.t.pause(wait)
	conn, err := c.t.dial(c.addr, "")
	messages := c.dialled(conn, err)
	if err != nil {
		c.t.counters.undelivered.Add(uint64(len(messages)))
		return
	}
	if conn.peer == c.t.opts.ID {
		return
	}
	for _, m := range messages {
		c.t.Send(conn.peer, m)
	}
}

// dialled notes the outcome of a dial and takes the waiting messages.
func (c *contact) dialled(conn *conn, err error) []Message {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dialling = false
	if err != nil {
		c.failures++
		c.retryAt = time.Now().Add(c.t.backoff.after(c.failures))
	} else {
		c.failures = 0
		c.retryAt = time.Time{}
		c.peer = conn.peer
	}
	return c.queue.take(c.queue.len())
}

// connected reports whether a live connection to the peer at addr exists. The address
// counts: the router that answered there may have moved, and another one taken it over.
func (t *Transport) connected(peer wire.RouterID, addr string) bool {
	l := t.linkIfAny(peer)
	if l == nil {
		return false
	}
	c, _, _ := l.current()
	return c != nil && c.quic.RemoteAddr().String() == addr
}

// forgetContact makes room by dropping a contact that isn't being dialled; the caller
// holds t.mu. Hosts are replaced all the time, so addresses would pile up.
func (t *Transport) forgetContact() bool {
	for addr, c := range t.contacts {
		c.mu.Lock()
		busy := c.dialling
		c.mu.Unlock()
		if !busy {
			delete(t.contacts, addr)
			return true
		}
	}
	return false
}
