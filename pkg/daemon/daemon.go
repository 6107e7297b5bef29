// Package daemon puts the parts of a router together and runs them.
//
// Module lists what each part is made of; run.go starts the duties in the order in
// which they need each other, drain.go ends them so that no request is cut.
package daemon

import (
	"context"
	"io"

	"github.com/apex/log"
	"github.com/juju/errors"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/flamingowind/flamingowind/pkg/edge"
	"github.com/flamingowind/flamingowind/pkg/settings"
)

// Daemon is one router.
type Daemon struct {
	app     *fx.App
	log     log.Interface
	edge    *edge.Edge
	drain   *drain
	started settings.Settings
}

// New puts a router together; logs go to w.
func New(s settings.Settings, w io.Writer) (*Daemon, error) {
	d := &Daemon{started: s}
	d.app = fx.New(
		fx.Supply(s),
		fx.Provide(func() io.Writer { return w }),
		Module,
		fx.Populate(&d.log, &d.edge, &d.drain),
		fx.Invoke(start),
		fx.StopTimeout(s.Timing.DrainLimit.Std()+stopMargin),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
	)
	return d, errors.Annotate(d.app.Err(), "put the router together")
}

// Run runs the router until ctx ends or an operator drains it, then drains. A second
// end of patience is the caller's: it may end the process.
func (d *Daemon) Run(ctx context.Context) error {
	startCtx, cancel := context.WithTimeout(ctx, d.app.StartTimeout())
	defer cancel()
	if err := d.app.Start(startCtx); err != nil {
		return errors.Annotate(err, "start the router")
	}
	select {
	case <-ctx.Done():
	case <-d.drain.asked:
	}
	d.log.Info("draining")
	stopCtx, cancelStop := context.WithTimeout(context.Background(), d.app.StopTimeout())
	defer cancelStop()
	return errors.Annotate(d.app.Stop(stopCtx), "drain the router")
}
