package marks

import (
	"context"

	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/platform"
)

// Hosts passes a host list on and lets the store read it on the way: membership and
// marks share one read of the platform.
type Hosts struct {
	list  platform.Hosts
	store *Store
}

// NewHosts wraps hosts.
func NewHosts(hosts platform.Hosts, store *Store) *Hosts {
	return &Hosts{list: hosts, store: store}
}

// Hosts reads the list.
func (h *Hosts) Hosts(ctx context.Context) (platform.HostList, error) {
	list, err := h.list.Hosts(ctx)
	if err != nil {
		return list, errors.Trace(err)
	}
	h.store.Read(list)
	return list, nil
}
