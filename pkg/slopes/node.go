package slopes

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/flamingowind/flamingowind/pkg/peer"
	"github.com/flamingowind/flamingowind/pkg/peer/devcert"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// closeWithin bounds the end of a transport.
const closeWithin = 2 * time.Second

// nodes makes routers' transports on 127.0.0.1 that know each other's addresses.
type nodes struct {
	ca    *devcert.Authority
	dir   string
	addrs map[wire.RouterID]string
	all   []*peer.Transport
}

func newNodes(dir string) (*nodes, error) {
	ca, err := devcert.NewAuthority("slopes")
	return &nodes{ca: ca, dir: dir, addrs: make(map[wire.RouterID]string)}, err
}

// PeerAddr implements peer.Resolver. All nodes are made before the first one sends.
func (n *nodes) PeerAddr(id wire.RouterID) (string, bool) {
	addr, ok := n.addrs[id]
	return addr, ok
}

// add starts one transport whose frames go to h.
func (n *nodes) add(id wire.RouterID, coalesce time.Duration, h peer.Handler) (*peer.Transport, error) {
	files, err := n.ca.Issue(n.dir, string(id))
	if err != nil {
		return nil, err
	}
	t, err := peer.New(peer.Options{
		ID: id, Listen: "127.0.0.1:0", Cert: files.Cert, Key: files.Key, CA: files.CA,
		Resolver: n, Coalesce: coalesce, HandshakeTimeout: 10 * time.Second, Log: silent(),
	}, h)
	if err != nil {
		return nil, err
	}
	n.addrs[id] = t.Addr()
	n.all = append(n.all, t)
	return t, nil
}

func (n *nodes) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeWithin)
	defer cancel()
	for _, t := range n.all {
		_ = t.Close(ctx)
	}
}

// silent is a log for hundreds of routers in one process.
func silent() log.Interface { return &log.Logger{Handler: discard.Default, Level: log.FatalLevel} }

// lateHandler stands for a handler that needs the transport first.
type lateHandler struct{ to atomic.Pointer[peer.Handler] }

func (l *lateHandler) set(h peer.Handler) { l.to.Store(&h) }

// HandleFrame implements peer.Handler.
func (l *lateHandler) HandleFrame(from wire.RouterID, f *wire.Frame) {
	if h := l.to.Load(); h != nil {
		(*h).HandleFrame(from, f)
	}
}
