package daemon

import (
	"context"
	"sync"

	"go.uber.org/fx"
)

// duties runs the daemon's goroutines between start and stop.
type duties struct {
	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup
}

func newDuties(lc fx.Lifecycle) *duties {
	d := &duties{}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	lc.Append(fx.StopHook(d.stop))
	return d
}

// run starts a duty; it ends when its context does.
func (d *duties) run(duty func(context.Context)) {
	d.group.Go(func() { duty(d.ctx) })
}

func (d *duties) stop(ctx context.Context) error {
	d.cancel()
	done := make(chan struct{})
	go func() {
		d.group.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
