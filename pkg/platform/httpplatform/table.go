package httpplatform

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/platform"
)

// rowList is the answer to a listing.
type rowList struct {
	Rows []platform.Row `json:"rows"`
}

type table struct{ c *Client }

func (t table) Get(ctx context.Context, key string) (platform.Row, error) {
	var row platform.Row
	err := t.c.getJSON(ctx, "/table/row", url.Values{"key": {key}}, &row)
	return row, err
}

func (t table) List(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	var list rowList
	err := t.c.getJSON(ctx, "/table/rows", query, &list)
	return list.Rows, err
}

// Commit judges by the status alone: once it says that the
// transaction was applied, a body that breaks off doesn't make it doubtful again.
func (t table) Commit(ctx context.Context, txn platform.Txn) error {
	body, err := json.Marshal(txn)
	if err != nil {
		return errors.Annotate(err, "encode transaction")
	}
	_, err = t.c.do(ctx, call{method: http.MethodPost, path: "/table/txn", body: body, discard: true})
	return err
}

func (c *Client) getJSON(ctx context.Context, path string, query url.Values, into any) error {
	data, err := c.do(ctx, call{method: http.MethodGet, path: path, query: query})
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, into); err != nil {
		return errors.WithType(errors.Annotatef(err, "decode answer of %s", path), platform.ErrUnknown)
	}
	return nil
}
