package fleettest

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
)

const (
	// pollEvery is the pause between two looks at a condition.
	pollEvery = 25 * time.Millisecond
	// Deadline bounds the wait for a condition. It is many times what the slowest of
	// them takes on a quiet machine, so that it decides nothing but a hang.
	Deadline = 45 * time.Second
)

// Eventually calls try until it returns nil; the test fails with try's last error
// after Deadline.
func (f *Fleet) Eventually(what string, try func() error) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(f.Ctx, Deadline)
	defer cancel()
	require.NoError(f.t, errors.Annotate(poll(ctx, try), what))
}

func poll(ctx context.Context, try func() error) error {
	tick := time.NewTicker(pollEvery)
	defer tick.Stop()
	for {
		err := try()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-tick.C:
		}
	}
}

// each calls try for each router in list and returns the first error.
func each(list []int, try func(i int) error) error {
	for _, i := range list {
		if err := try(i); err != nil {
			return errors.Annotatef(err, "router %d", i)
		}
	}
	return nil
}

// EventuallyEach is Eventually for a condition that all the routers must show at once.
func (f *Fleet) EventuallyEach(what string, list []int, try func(i int) error) {
	f.t.Helper()
	f.Eventually(what, func() error { return each(list, try) })
}
