package soak

import (
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/internal/devfleet"
	"github.com/flamingowind/flamingowind/pkg/gatewayd"
)

// router is one gateway process with a relay on each of its links.
type router struct {
	index    int
	settings gatewayd.Settings
	process  *devfleet.Process
	// callers, peers and store are the relays on its links.
	callers, peers, store *devfleet.TCPRelay
	// ending is set while the process ends or has ended by our doing.
	ending atomic.Bool
	file   string
}

func newRouter(o Options, index int, name string, ports *devfleet.Ports, storeAddr string) (*router, error) {
	s := gatewayd.DefaultSettings()
	s.Router = gatewayd.RouterSettings{Name: name, Zone: "z"}
	s.Leaving.GraceSeconds = grace.Seconds()
	s.Streams.LeavingUpstreamMs = float64(drainTime.Milliseconds())
	s.Warmup = gatewayd.WarmupSettings{Over: coldOver, Slack: coldSlack}
	for _, addr := range []*string{&s.Listen.Callers, &s.Listen.Readiness, &s.Listen.Peers, &s.Listen.Entries, &s.Listen.Metrics, &s.Listen.Handover} {
		var err error
		if *addr, err = ports.Take(); err != nil {
			return nil, errors.Trace(err)
		}
	}
	r := &router{index: index, file: filepath.Join(o.Dir, name+".yaml")}
	for _, link := range []struct {
		relay  **devfleet.TCPRelay
		target string
	}{{&r.callers, s.Listen.Callers}, {&r.peers, s.Listen.Peers}, {&r.store, storeAddr}} {
		listen, err := ports.Take()
		if err != nil {
			return nil, errors.Trace(err)
		}
		if *link.relay, err = devfleet.NewTCPRelay(listen, link.target); err != nil {
			return nil, errors.Trace(err)
		}
	}
	s.Advertise = gatewayd.AdvertiseSettings{Callers: r.callers.Addr(), Peers: r.peers.Addr()}
	s.Store.Addr = r.store.Addr()
	r.settings = s
	return r, nil
}

// start writes the settings and starts the process.
func (r *router) start(o Options, known []string) error {
	r.settings.Entries.Known = known
	data, err := yaml.Marshal(r.settings)
	if err != nil {
		return errors.Trace(err)
	}
	if err := os.WriteFile(r.file, data, 0o600); err != nil {
		return errors.Trace(err)
	}
	r.process, err = devfleet.StartProcess(o.Dir, r.settings.Router.Name, filepath.Join(o.Bin, "flamingowind-gateway"), "run", "-settings", r.file)
	return errors.Trace(err)
}

// restart starts the process again unless it runs.
func (r *router) restart() {
	if err := r.process.Start(); err == nil {
		r.ending.Store(false)
	}
}

// running reports whether the process runs.
func (r *router) running() bool { return !r.process.Ended() }

// hangup sends the signal that announces other settings.
func (r *router) hangup() {
	_ = r.process.Hangup() // it may have ended
}

// heal opens all links.
func (r *router) heal() {
	for _, relay := range []*devfleet.TCPRelay{r.callers, r.peers, r.store} {
		relay.SetDelay(0)
		relay.Heal()
	}
}

func (r *router) close() {
	for _, relay := range []*devfleet.TCPRelay{r.callers, r.peers, r.store} {
		relay.Close()
	}
}

// panicked reports whether the log shows a crash of the program itself.
func (r *router) panicked() bool {
	data, err := os.ReadFile(r.process.LogFile)
	if err != nil {
		return false
	}
	text := string(data)
	return strings.Contains(text, "\npanic: ") || strings.Contains(text, "fatal error: ") || strings.Contains(text, "WARNING: DATA RACE")
}

// startWait bounds a start.
const startWait = 20 * time.Second
