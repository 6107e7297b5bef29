package stops

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/internal/devfleet"
)

// router is a gateway process.
type router struct {
	name      string
	file      string
	callers   string
	readiness string
	peers     string
	template  string
	process   *devfleet.Process

	mu sync.Mutex
	// leaving is when the present life was first told to stop; zero for not.
	leaving time.Time
	// stops are all times at which a life was told to stop.
	stops []time.Time
	// kills are the stops that ended by a kill.
	kills map[time.Time]bool
	// up is whether callers may be sent there.
	up bool
	// reloads counts the settings that were written.
	reloads int
}

// settingsText has keys that older builds know as well. The kept connections change from reload to reload.
const settingsText = `router: {name: %s, zone: z}
listen: {callers: "%s", readiness: "%s", peers: "%s", entries: "%s", metrics: "%s", handover: "%s"}
store: {addr: "%s"}
leaving: {graceSeconds: %g}
entries: {known: ["%s"]}
`

func newRouter(o Options, name, storeAddr, seed string, ports *devfleet.Ports) (*router, error) {
	var addrs [6]string
	for i := range addrs {
		var err error
		if addrs[i], err = ports.Take(); err != nil {
			return nil, errors.Trace(err)
		}
	}
	r := &router{name: name, file: filepath.Join(o.Dir, name+".yaml"), callers: addrs[0], readiness: addrs[1], peers: addrs[2]}
	if seed == "" {
		seed = r.peers
	}
	r.template = fmt.Sprintf(settingsText, name, addrs[0], addrs[1], addrs[2], addrs[3], addrs[4], addrs[5], storeAddr, grace.Seconds(), seed)
	return r, r.write()
}

// write writes other settings than before.
func (r *router) write() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reloads++
	next := r.file + ".next"
	if err := os.WriteFile(next, fmt.Appendf(nil, "%slimits: {keptConnections: %d}\n", r.template, 300+r.reloads), 0o600); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(os.Rename(next, r.file))
}

func (r *router) start(o Options) error {
	if r.process != nil {
		return errors.Trace(r.process.Start())
	}
	var err error
	r.process, err = devfleet.StartProcess(o.Dir, r.name, o.gateway(), "run", "-settings", r.file)
	return errors.Trace(err)
}

func (r *router) ready() bool {
	resp, err := http.Get("http://" + r.readiness + "/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// terminate tells the process to stop and notes the first time.
func (r *router) terminate() {
	r.mu.Lock()
	if r.leaving.IsZero() {
		r.leaving = time.Now()
		r.stops = append(r.stops, r.leaving)
	}
	r.mu.Unlock()
	_ = r.process.Terminate() // it may have ended
}

func (r *router) setUp(up bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.up = up
	if up {
		r.leaving = time.Time{}
	}
}

func (r *router) isUp() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.up
}

// noteKill notes that the process had not ended when its grace was over.
func (r *router) noteKill() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.kills == nil {
		r.kills = make(map[time.Time]bool)
	}
	r.kills[r.leaving] = true
}

// killed reports whether a stop ended by a kill.
func (r *router) killed(stop time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.kills[stop]
}

// stopBefore is the last time before t at which the router was told to stop; zero for none.
func (r *router) stopBefore(t time.Time) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	var last time.Time
	for _, s := range r.stops {
		if s.Before(t) {
			last = s
		}
	}
	return last
}
