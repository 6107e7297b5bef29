package fleettest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strings"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/operator"
	"github.com/flamingowind/flamingowind/pkg/platform"
	"github.com/flamingowind/flamingowind/pkg/resource"
)

// OrderFor is an order for engine n, under one name for each engine.
func (f *Fleet) OrderFor(n int, model string) *resource.Order {
	upstream := f.Ready.Upstreams[n].Name
	return &resource.Order{Meta: resource.Meta{Name: "order-" + upstream}, Upstream: upstream, Model: model}
}

// PutOrders is a change that declares the orders.
func PutOrders(opID string, orders ...*resource.Order) operator.Apply {
	op := operator.Apply{OpID: opID}
	for _, o := range orders {
		op.Put = append(op.Put, operator.ApplyItem{Resource: resource.Document{Resource: o}})
	}
	return op
}

// Declare declares a model for engine n at router i and gives the version.
func (f *Fleet) Declare(i, n int, model string) uint64 {
	f.t.Helper()
	opID := fmt.Sprintf("declare-%d-%s", n, model)
	return f.Accept(i, PutOrders(opID, f.OrderFor(n, model))).Version
}

// OrderLease is an engine's lease row.
type OrderLease struct {
	// Holder is "router/grant", empty when nobody holds the lease.
	Holder string `json:"holder"`
	Fence  uint64 `json:"fence"`
}

// Lease reads engine n's lease row; a row that doesn't exist is the zero value.
func (f *Fleet) Lease(n int) (OrderLease, error) {
	var row platform.Row
	var lease OrderLease
	key := "lease/order/" + f.Ready.Upstreams[n].Name
	status, err := f.read(http.MethodGet, f.Ready.Platform+"/table/row?key="+url.QueryEscape(key), nil, &row)
	switch {
	case err != nil:
		return lease, err
	case status == http.StatusNotFound:
		return lease, nil
	case status != http.StatusOK:
		return lease, errors.Errorf("read %s: status %d", key, status)
	}
	return lease, errors.Trace(json.Unmarshal(row.Value, &lease))
}

// Holder waits until a router holds engine n's lease and gives its index and the
// fencing number.
func (f *Fleet) Holder(n int) (holder int, fence uint64) {
	f.t.Helper()
	f.Eventually("a router holds the lease", func() error {
		lease, err := f.Lease(n)
		if err != nil {
			return err
		}
		id, _, _ := strings.Cut(lease.Holder, "/")
		for i, r := range f.Routers {
			if r.Info.ID == id {
				holder, fence = i, lease.Fence
				return nil
			}
		}
		return errors.Errorf("no router holds it: %+v", lease)
	})
	return holder, fence
}

// Logged counts how often router i's log has the text.
func (f *Fleet) Logged(i int, text string) int {
	f.t.Helper()
	data, err := os.ReadFile(f.Routers[i].LogFile)
	require.NoError(f.t, err)
	return bytes.Count(data, []byte(text))
}
