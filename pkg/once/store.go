package once

import (
	"context"
	"time"

	"github.com/juju/errors"
	"golang.org/x/time/rate"

	"github.com/flamingowind/flamingowind/pkg/platform"
)

// store is the table with a time limit for each operation and this router's part of
// the fleet's writes.
type store struct {
	table   platform.Table
	timeout time.Duration
	budget  *rate.Limiter
}

func (s *store) get(ctx context.Context, key string) (platform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	return s.table.Get(ctx, key)
}

func (s *store) list(ctx context.Context, after string, limit int) ([]platform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	return s.table.List(ctx, rowPrefix, after, limit)
}

// commit waits for the budget and sends t. ErrRefused and ErrConflict: nothing was
// written; any other error: it may have been.
func (s *store) commit(ctx context.Context, t platform.Txn) error {
	if err := s.budget.Wait(ctx); err != nil {
		return errors.Wrap(err, platform.ErrRefused)
	}
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	return s.table.Commit(ctx, t)
}
