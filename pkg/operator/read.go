package operator

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"
	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/resource"
)

// Source says where a read came from.
type Source string

// Sources of a read.
const (
	// SourceTable: the newest configuration.
	SourceTable Source = "table"
	// SourceInForce: the table is out; what is in force in this router.
	SourceInForce Source = "inForce"
)

// List is the answer to a list of one kind.
type List struct {
	Version uint64              `json:"version"`
	Source  Source              `json:"source"`
	Items   []resource.Document `json:"items"`
}

// newest reads the table, and during an outage what is in force here. What it read
// takes effect here: otherwise, were the table to go out next, an operator who asks
// again would be shown an older version and take an accepted change for reverted.
func (a *API) newest(ctx context.Context) (*resource.Snapshot, Source, error) {
	sent := time.Now()
	snap, err := a.opts.Store.Load(ctx)
	if err == nil {
		if snap.Version > a.opts.Live.Version() {
			a.adopt(sent, snap)
		}
		return snap, SourceTable, nil
	}
	if snap := a.opts.Live.Snapshot(); snap != nil {
		return snap, SourceInForce, nil
	}
	a.opts.Log.WithError(err).Warn("can't read the configuration")
	return nil, "", failure(http.StatusServiceUnavailable, CodeNotAccepted, "the table can't be read, and nothing is in force here yet")
}

func kindOf(r *http.Request) (resource.Kind, error) {
	kind, ok := resource.ParseKind(mux.Vars(r)["kind"])
	if !ok {
		return "", failure(http.StatusNotFound, CodeNotFound, "no such kind; known: "+resource.KindNames())
	}
	return kind, nil
}

func refOf(r *http.Request) (resource.Ref, error) {
	kind, err := kindOf(r)
	return resource.Ref{Kind: kind, Name: mux.Vars(r)["name"]}, err
}

func etag(version uint64) string { return strconv.Quote(strconv.FormatUint(version, 10)) }

func (a *API) list(ctx context.Context, r *http.Request) (answer, error) {
	kind, err := kindOf(r)
	if err != nil {
		return answer{}, err
	}
	snap, source, err := a.newest(ctx)
	if err != nil {
		return answer{}, err
	}
	l := List{Version: snap.Version, Source: source, Items: []resource.Document{}}
	for _, res := range snap.OfKind(kind) {
		l.Items = append(l.Items, resource.Document{Resource: res})
	}
	return answer{status: http.StatusOK, etag: etag(snap.Version), body: l}, nil
}

func (a *API) get(ctx context.Context, r *http.Request) (answer, error) {
	ref, err := refOf(r)
	if err != nil {
		return answer{}, err
	}
	snap, _, err := a.newest(ctx)
	if err != nil {
		return answer{}, err
	}
	res := snap.Get(ref)
	if res == nil {
		return answer{}, errors.Trace(failure(http.StatusNotFound, CodeNotFound, ref.String()+" doesn't exist"))
	}
	return answer{status: http.StatusOK, etag: etag(resource.VersionOf(res)), body: resource.Document{Resource: res}}, nil
}

// Operation is the answer to the question what an operation ID did.
type Operation struct {
	OpID    string `json:"opId"`
	Version uint64 `json:"version"`
}

func (a *API) operation(ctx context.Context, r *http.Request) (answer, error) {
	id := mux.Vars(r)["id"]
	version, found, err := a.opts.Store.Operation(ctx, id)
	if err != nil {
		return answer{}, err
	}
	if !found {
		return answer{}, failure(http.StatusNotFound, CodeNotFound, "no write with this operation ID was accepted")
	}
	return answer{status: http.StatusOK, body: Operation{OpID: id, Version: version}}, nil
}
