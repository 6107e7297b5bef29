package order

import (
	"encoding/json"
	"net/url"

	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/platform"
)

// leaseRow is the value of row lease/order/<upstream>. It is never deleted, so that
// Fence and Declared only grow.
type leaseRow struct {
	// Holder is the router and an ID unique to one grant; empty when the lease was
	// revoked.
	Holder string `json:"holder,omitempty"`
	Fence  uint64 `json:"fence"`
	// Declared is the highest configuration version an order was sent for.
	Declared uint64 `json:"declared"`
}

func leaseKey(upstream string) string { return "lease/order/" + url.PathEscape(upstream) }

func decodeLease(row platform.Row) (leaseRow, error) {
	var l leaseRow
	if row.Version == 0 {
		return l, nil
	}
	err := json.Unmarshal(row.Value, &l)
	return l, errors.Annotate(err, "lease row")
}

// write returns the transaction that replaces the row as read.
func (l leaseRow) write(read platform.Row, upstream string) (platform.Txn, error) {
	value, err := json.Marshal(l)
	if err != nil {
		return platform.Txn{}, errors.Annotate(err, "lease row")
	}
	key := leaseKey(upstream)
	return platform.Txn{
		Guards: []platform.Guard{{Key: key, Version: read.Version}},
		Puts:   []platform.Put{{Key: key, Value: value}},
	}, nil
}
