package daemon

import (
	"context"

	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/edge"
	"github.com/flamingowind/flamingowind/pkg/once"
)

// guard joins the book of calls that may not be repeated to the edge.
type guard struct{ book *once.Book }

// Begin implements edge.Guard.
func (g guard) Begin(ctx context.Context, org, key string, content uint64) (edge.Ticket, error) {
	ticket, err := g.book.Begin(ctx, org, key, content)
	var replay *once.Replay
	if errors.As(err, &replay) {
		return nil, &edge.Replay{Status: replay.Status, Body: replay.Body}
	}
	if err != nil {
		return nil, err
	}
	return ticket, nil
}
