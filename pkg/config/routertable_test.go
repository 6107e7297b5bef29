package config_test

import (
	"context"

	"github.com/flamingowind/flamingowind/pkg/platform"
	"github.com/flamingowind/flamingowind/pkg/platform/platformtest"
)

// routerTable is the table as one router sees it: a cut router can't reach it.
type routerTable struct {
	table  *platformtest.Table
	router *router
}

func (t routerTable) Get(ctx context.Context, key string) (platform.Row, error) {
	if t.router.cut {
		return platform.Row{}, platform.ErrUnknown
	}
	return t.table.Get(ctx, key)
}

func (t routerTable) List(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	if t.router.cut {
		return nil, platform.ErrUnknown
	}
	return t.table.List(ctx, prefix, after, limit)
}

func (t routerTable) Commit(ctx context.Context, txn platform.Txn) error {
	if t.router.cut {
		return platform.ErrRefused
	}
	return t.table.Commit(ctx, txn)
}
