package operator

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/config"
	"github.com/flamingowind/flamingowind/pkg/resource"
)

// OperationHeader carries the operation ID of a PUT or DELETE. A write that is sent
// again with the same one is recognised.
const OperationHeader = "Flamingowind-Operation"

// Written is the answer to a PUT, a DELETE and an apply.
type Written struct {
	// Version is the configuration version that holds the change.
	Version uint64 `json:"version"`
	OpID    string `json:"opId"`
	DryRun  bool   `json:"dryRun,omitempty"`
	// Replayed says that an earlier try of this operation had been accepted.
	Replayed bool     `json:"replayed,omitempty"`
	Changes  []Change `json:"changes"`
}

// Change is one resource that a write changed.
type Change struct {
	resource.Ref
	Action resource.Action   `json:"action"`
	Before resource.Document `json:"before"`
	After  resource.Document `json:"after"`
}

func (a *API) put(ctx context.Context, r *http.Request) (answer, error) {
	ref, err := refOf(r)
	if err != nil {
		return answer{}, err
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return answer{}, errors.Trace(err)
	}
	res, err := resource.ParseJSON(ref.Kind, body)
	if err != nil {
		return answer{}, err
	}
	if got := resource.RefOf(res); got != ref {
		return answer{}, failure(http.StatusBadRequest, CodeBadRequest, "the body is "+got.String()+", the path "+ref.String())
	}
	op := resource.PutOp(res)
	return a.writeOne(ctx, r, op)
}

func (a *API) remove(ctx context.Context, r *http.Request) (answer, error) {
	ref, err := refOf(r)
	if err != nil {
		return answer{}, err
	}
	return a.writeOne(ctx, r, resource.Op{Ref: ref})
}

func (a *API) writeOne(ctx context.Context, r *http.Request, op resource.Op) (answer, error) {
	expect, err := expected(r)
	if err != nil {
		return answer{}, err
	}
	if expect != nil {
		op.Expect = expect
	}
	id := r.Header.Get(OperationHeader)
	return a.write(ctx, config.Change{OpID: opID(id), Ops: []resource.Op{op}}, false)
}

func opID(given string) string {
	if given != "" {
		return given
	}
	return uuid.NewString()
}

// expected reads the resource version that the operator looked at. "If-None-Match: *"
// is version 0: the resource must not exist.
func expected(r *http.Request) (*uint64, error) {
	if r.Header.Get("If-None-Match") == "*" {
		return new(uint64), nil
	}
	text := r.URL.Query().Get("version")
	if match := r.Header.Get("If-Match"); match != "" {
		text = strings.Trim(match, `"`)
	}
	if text == "" || text == "*" {
		return nil, nil
	}
	v, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return nil, failure(http.StatusBadRequest, CodeBadRequest, "If-Match and version must be a resource version")
	}
	return &v, nil
}

// write accepts c, or judges it in a dry run. An accepted change takes effect in this
// router at once; the others hear of it from the table and from this router.
func (a *API) write(ctx context.Context, c config.Change, dryRun bool) (answer, error) {
	do := a.opts.Store.Write
	if dryRun {
		do = a.opts.Store.DryRun
	}
	sent := time.Now()
	result, err := do(ctx, c)
	if err != nil {
		f := *failureOf(err)
		f.OpID, f.cause = c.OpID, err
		return answer{}, &f
	}
	if !dryRun && result.Snapshot != nil {
		a.adopt(sent, result.Snapshot)
	}
	body := Written{Version: result.Version, OpID: c.OpID, DryRun: dryRun, Replayed: result.Replayed, Changes: []Change{}}
	for _, d := range result.Deltas {
		body.Changes = append(body.Changes, Change{d.Ref, d.Action, resource.Document{Resource: d.Before}, resource.Document{Resource: d.After}})
	}
	return answer{status: http.StatusOK, etag: etag(result.Version), body: body}, nil
}

func (a *API) adopt(sent time.Time, snap *resource.Snapshot) {
	err := a.opts.Live.Adopt(time.Now(), snap)
	if err != nil && !errors.Is(err, config.ErrOlder) {
		a.opts.Log.WithError(err).Error("an accepted configuration can't be adopted")
		return
	}
	a.opts.Live.Confirm(sent, snap.Version)
}
