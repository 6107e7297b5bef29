package peer

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/quic-go/quic-go"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// Transport sends and receives frames. One UDP socket carries all connections.
type Transport struct {
	opts     Options
	handler  Handler
	keys     *keyring
	counters counters
	backoff  *backoff
	epoch    uint64

	quic     *quic.Transport
	listener *quic.Listener
	config   *quic.Config

	ctx    context.Context
	cancel context.CancelFunc
	duties duties
	local  *local

	mu       sync.Mutex
	closing  bool
	links    map[wire.RouterID]*link
	contacts map[string]*contact
	conns    map[*conn]struct{}
}

// New binds the UDP socket and starts to accept peers.
func New(opts Options, handler Handler) (*Transport, error) {
	opts = opts.withDefaults()
	t := &Transport{
		opts:     opts,
		handler:  handler,
		backoff:  newBackoff(opts.Seed),
		epoch:    newEpoch(),
		config:   quicConfig(opts),
		links:    make(map[wire.RouterID]*link),
		contacts: make(map[string]*contact),
		conns:    make(map[*conn]struct{}),
	}
	if err := t.loadKeys(); err != nil {
		return nil, err
	}
	if err := t.listen(); err != nil {
		return nil, err
	}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	t.local = newLocal(opts.ID, handler, opts.MaxQueued, &t.counters)
	t.duties.start(func() { t.local.run(t.ctx) })
	t.duties.start(t.accept)
	t.duties.start(func() { t.keys.watch(t.ctx, opts.ReloadEvery, t.recheck) })
	return t, nil
}

func (t *Transport) loadKeys() error {
	keys, err := newKeyring(t.opts.Cert, t.opts.Key, t.opts.CA, t.opts.Log, &t.counters.refused)
	if err != nil {
		return err
	}
	if got := keys.ownID(); got != t.opts.ID {
		return errors.Errorf("own certificate is for router %q, the settings say %q", got, t.opts.ID)
	}
	t.keys = keys
	return nil
}

func (t *Transport) listen() error {
	addr, err := net.ResolveUDPAddr("udp", t.opts.Listen)
	if err != nil {
		return errors.Annotate(err, "peer listen address")
	}
	socket, err := net.ListenUDP("udp", addr)
	if err != nil {
		return errors.Annotate(err, "listen for peers")
	}
	// The key outlives a restart: a peer that still sends on a connection of the old
	// process is told so by the new one at once, not by its idle timeout.
	reset := quic.StatelessResetKey(t.keys.current.Load().reset)
	t.quic = &quic.Transport{Conn: newCountedConn(socket, &t.counters), StatelessResetKey: &reset}
	t.listener, err = t.quic.Listen(t.keys.server(), t.config)
	if err != nil {
		socket.Close()
		return errors.Annotate(err, "listen for peers")
	}
	return nil
}

// newEpoch gives a random number over 0 that stands for this process.
func newEpoch() uint64 {
	var b [8]byte
	rand.Read(b[:])
	return binary.BigEndian.Uint64(b[:]) | 1
}

// Addr is the bound UDP address.
func (t *Transport) Addr() string { return t.quic.Conn.LocalAddr().String() }

// Stats gives the counts so far.
func (t *Transport) Stats() Stats { return t.counters.snapshot() }

// Send queues m for the router to. It never blocks. A message to this router itself
// goes to the handler without the wire; receivers must not change what they are handed.
func (t *Transport) Send(to wire.RouterID, m Message) {
	if to == t.opts.ID {
		t.local.send(m)
		return
	}
	if l := t.linkFor(to); l != nil {
		l.send(m)
		return
	}
	t.counters.undelivered.Add(1)
}

// SendAddr queues m for whatever router lives at addr: the first contact with a seed
// whose ID isn't known yet. A message to this router's own address is dropped.
func (t *Transport) SendAddr(addr string, m Message) {
	if c := t.contactFor(addr); c != nil {
		c.send(m)
		return
	}
	t.counters.undelivered.Add(1)
}

// recheck closes connections whose peer's certificate the authorities no longer accept.
//
// Guard: TLS looks at certificates once, at the handshake, and connections between
// routers live for days. Without this a router whose authority was withdrawn would
// stay trusted until one of the two restarts.
func (t *Transport) recheck() {
	pool := t.keys.current.Load().pool
	for _, c := range t.openConns() {
		if err := verifyChain(c.quic.ConnectionState().TLS.PeerCertificates, pool, c.usage()); err != nil {
			t.opts.Log.WithError(err).WithField("peer", c.peer).Warn("peer is no longer trusted")
			c.close(codeIdentity, "certificate not accepted")
		}
	}
}

func (t *Transport) openConns() []*conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]*conn, 0, len(t.conns))
	for c := range t.conns {
		list = append(list, c)
	}
	return list
}

// Close sends what is queued, ends all connections and waits for the duties. It gives
// up on queues and on peers that don't answer when ctx ends.
func (t *Transport) Close(ctx context.Context) error {
	t.mu.Lock()
	if t.closing {
		t.mu.Unlock()
		return nil
	}
	t.closing = true
	t.mu.Unlock()
	t.flush(ctx)
	for _, c := range t.openConns() {
		c.close(codeBye, "closing")
	}
	t.cancel()
	err := t.listener.Close()
	if closeErr := t.quic.Close(); err == nil {
		err = closeErr
	}
	t.quic.Conn.Close()
	t.duties.stop()
	return errors.Trace(err)
}

// flush waits until the queues are empty and the peers have read their streams to the
// end. Closing a QUIC connection throws away what is still on its way, and the last
// messages of a leaving router are the ones that hand its cells over.
func (t *Transport) flush(ctx context.Context) {
	for _, l := range t.allLinks() {
		select {
		case <-l.idle():
		case <-ctx.Done():
			return
		}
	}
	conns := t.openConns()
	for _, c := range conns {
		c.finish()
	}
	limit := time.NewTimer(t.opts.WriteTimeout)
	defer limit.Stop()
	for _, c := range conns {
		select {
		case <-c.quic.Context().Done():
		case <-limit.C:
			return
		case <-ctx.Done():
			return
		}
	}
}
