package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/juju/errors"
)

const (
	// stopMargin is what the steps around the wait for requests may take together.
	stopMargin = 10 * time.Second
	// leaveTimeout bounds how long peers are told that this router leaves.
	leaveTimeout = 2 * time.Second
	// flushTimeout bounds the writing of what ended calls left to record.
	flushTimeout = 2 * time.Second
	// closeTimeout bounds the farewell to peers and callers.
	closeTimeout = 2 * time.Second
)

// drain holds the callers' server and the wish of an operator to end the router.
//
// Guard: the framework's own shutdown would serve, but whoever waits for it takes SIGTERM
// and SIGINT as well, until the router has drained. A second signal, which ends a router
// that drains for too long, would then come to nothing.
type drain struct {
	log    log.Interface
	server *http.Server

	// asked is closed by the first request.
	asked chan struct{}
	once  sync.Once
}

func newDrain(l log.Interface) *drain { return &drain{log: l, asked: make(chan struct{})} }

// request ends the router in good order; it returns at once.
func (d *drain) request() { d.once.Do(func() { close(d.asked) }) }

func (d *drain) serve(server *http.Server, l net.Listener) {
	d.server = server
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			d.log.WithError(err).Error("callers' listener ended")
		}
	}()
}

// onStop drains. The order is what keeps requests whole: peers hear that this router
// leaves and take its cells over, so that what waits here is still granted; new
// requests are refused as not run with other addresses; what runs ends by itself.
func (r router) onStop(ctx context.Context) error {
	r.Edge.Drain()
	r.Claimant.Drain()
	if err := within(ctx, leaveTimeout, r.Members.Leave); err != nil {
		r.Log.WithError(err).Warn("not all peers know that this router leaves")
	}
	err := within(ctx, r.Settings.Timing.DrainLimit.Std(), r.Edge.Wait)
	if err != nil {
		r.Log.WithField("left", r.Edge.InFlight()).Error("drain limit reached, requests are cut")
	}
	r.finish(ctx)
	return errors.Annotate(err, "drain limit reached")
}

// finish ends what only served the requests.
func (r router) finish(ctx context.Context) {
	if err := within(ctx, closeTimeout, r.Drain.server.Shutdown); err != nil {
		_ = r.Drain.server.Close()
	}
	if err := within(ctx, flushTimeout, r.Book.Flush); err != nil {
		r.Log.WithError(err).Warn("ended calls not all recorded")
	}
	if err := r.Duties.stop(ctx); err != nil {
		r.Log.WithError(err).Warn("duties still run")
	}
	if err := within(ctx, closeTimeout, r.Transport.Close); err != nil {
		r.Log.WithError(err).Warn("peers not all told")
	}
	_ = r.Metrics.Close()
}

func within(ctx context.Context, most time.Duration, step func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	return step(ctx)
}
