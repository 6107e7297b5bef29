package soak

import (
	"fmt"
	"sync"

	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/internal/devfleet"
	"github.com/flamingowind/flamingowind/platform/platformtest"
)

// Services of a run.
const (
	mainService  = "s"
	otherService = "t"
)

// upstreams of otherService.
const others = 2

// upstream is a stand-in engine behind a relay.
type upstream struct {
	index   int
	service string
	engine  *platformtest.Engine
	relay   *devfleet.TCPRelay
	closed  sync.Once
	// unreachable is done once the relay is closed.
	unreachable sync.Once
}

// newUpstream starts the next life of upstream index.
func newUpstream(index, life int, service string, ports *devfleet.Ports) (*upstream, error) {
	e := platformtest.NewEngine(fmt.Sprintf("i-%d-%d", index, life))
	e.Behave(sound)
	e.Zone = zoneOf(index)
	listen, err := ports.Take()
	if err != nil {
		return nil, errors.Trace(err)
	}
	relay, err := devfleet.NewTCPRelay(listen, e.Listener.Addr().String())
	return &upstream{index: index, service: service, engine: e, relay: relay}, errors.Trace(err)
}

// closeRelay makes the upstream refuse connections.
func (u *upstream) closeRelay() { u.unreachable.Do(u.relay.Close) }

// close ends the upstream's process; what it ran stays on record.
func (u *upstream) close() {
	u.closed.Do(func() {
		u.closeRelay()
		u.engine.CloseClientConnections()
		u.engine.Close()
	})
}
