package peer

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/peer/devcert"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// got is one frame that a handler was handed.
type got struct {
	from  wire.RouterID
	frame *wire.Frame
}

// inbox hands frames to the test.
type inbox chan got

func (b inbox) HandleFrame(from wire.RouterID, f *wire.Frame) { b <- got{from, f} }

// book is a Resolver for tests.
type book struct {
	mu    sync.Mutex
	addrs map[wire.RouterID]string
}

func (b *book) PeerAddr(id wire.RouterID) (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	addr, ok := b.addrs[id]
	return addr, ok
}

func (b *book) set(id wire.RouterID, addr string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addrs[id] = addr
}

// fleet makes routers that trust each other, on 127.0.0.1.
type fleet struct {
	t    testing.TB
	ca   *devcert.Authority
	book *book
}

func newAuthority(t testing.TB, name string) *devcert.Authority {
	a, err := devcert.NewAuthority(name)
	require.NoError(t, err)
	return a
}

func newFleet(t testing.TB) *fleet {
	return &fleet{t: t, ca: newAuthority(t, "ca"), book: &book{addrs: map[wire.RouterID]string{}}}
}

// options of a router with a fresh certificate. The long timeouts keep a slow machine
// from changing a verdict.
func (f *fleet) options(id wire.RouterID) Options { return f.optionsOf(f.ca, id) }

// optionsOf is options with a certificate of another authority, trusting also as well.
func (f *fleet) optionsOf(a *devcert.Authority, id wire.RouterID, also ...*devcert.Authority) Options {
	files, err := a.Issue(f.t.TempDir(), string(id), also...)
	require.NoError(f.t, err)
	return Options{
		ID: id, Listen: "127.0.0.1:0", Cert: files.Cert, Key: files.Key, CA: files.CA, Resolver: f.book,
		Coalesce: time.Millisecond, IdleTimeout: time.Hour, HandshakeTimeout: 10 * time.Second, WriteTimeout: 10 * time.Second, Seed: 1,
	}
}

func (f *fleet) start(o Options) (*Transport, inbox) {
	in := make(inbox, 100_000)
	tr, err := New(o, in)
	require.NoError(f.t, err)
	f.t.Cleanup(func() { closeNow(tr) })
	f.book.set(o.ID, tr.Addr())
	return tr, in
}

func (f *fleet) router(id wire.RouterID) (*Transport, inbox) { return f.start(f.options(id)) }

// closeNow closes without waiting for queues and peers.
func closeNow(tr *Transport) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = tr.Close(ctx)
}

// ping is a message that the tests can recognise.
func ping(nonce uint64) Message {
	return func(f *wire.Frame) { f.Pings = append(f.Pings, wire.Ping{Nonce: nonce}) }
}

// nonces reads until n pings have come and gives their nonces in order of arrival.
func (b inbox) nonces(n int) (list []uint64, from wire.RouterID) {
	for len(list) < n {
		g := <-b
		from = g.from
		for _, p := range g.frame.Pings {
			list = append(list, p.Nonce)
		}
	}
	return list, from
}
