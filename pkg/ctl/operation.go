package ctl

import (
	"context"
	"net/http"
	"net/url"

	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/operator"
)

// operation asks what an operation ID did.
func (c *Client) operation(ctx context.Context, id string) (version uint64, found bool, err error) {
	var op operator.Operation
	err = c.call(ctx, http.MethodGet, "/operations/"+url.PathEscape(id), nil, &op)
	var f *operator.Failure
	if errors.As(err, &f) && f.Status == http.StatusNotFound {
		return 0, false, nil
	}
	return op.Version, err == nil, err
}
