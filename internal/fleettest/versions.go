package fleettest

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/flamingowind/flamingowind/pkg/config"
)

// VersionWatch looks at what each router shows and serves, all through a test, and
// keeps every step back.
type VersionWatch struct {
	fleet *Fleet
	stop  context.CancelFunc
	all   sync.WaitGroup

	mu    sync.Mutex
	steps []string
	looks int
}

// shown is what one router has shown so far.
type shown struct {
	pid int
	// inForce is the highest of this life, served that of all lives.
	inForce, served uint64
}

// WatchVersions starts a watch.
func (f *Fleet) WatchVersions() *VersionWatch {
	ctx, stop := context.WithCancel(f.Ctx)
	w := &VersionWatch{fleet: f, stop: stop}
	for i := range f.Routers {
		w.all.Go(func() { w.watch(ctx, i) })
	}
	return w
}

// Stop ends the watch and gives the number of looks and the steps back.
func (w *VersionWatch) Stop() (looks int, stepsBack []string) {
	w.stop()
	w.all.Wait()
	return w.looks, w.steps
}

func (w *VersionWatch) watch(ctx context.Context, i int) {
	tick := time.NewTicker(pollEvery)
	defer tick.Stop()
	var s shown
	for {
		w.look(ctx, i, &s)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// look asks for the status, which reads no snapshot and so speeds nothing up. The
// answer counts only when one life of the router gave it.
func (w *VersionWatch) look(ctx context.Context, i int, s *shown) {
	pid := w.fleet.Routers[i].PID()
	status, err := w.fleet.Status(ctx, i)
	if err != nil || w.fleet.Routers[i].PID() != pid {
		return
	}
	if pid != s.pid {
		*s = shown{pid: pid, served: s.served}
	}
	w.check(i, "in force in one life", status.InForce, &s.inForce)
	if status.Basis != config.BasisNone {
		w.check(i, "served, over all lives,", status.InForce, &s.served)
	}
}

func (w *VersionWatch) check(router int, what string, version uint64, highest *uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.looks++
	if version < *highest {
		w.steps = append(w.steps, fmt.Sprintf("router %d: version %s fell from %d to %d", router, what, *highest, version))
	}
	*highest = max(*highest, version)
}
