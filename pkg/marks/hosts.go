package marks

import (
	"context"

	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/platform"
)

// Hosts reads the host list of the platform and adds the marks in it to a store: membership and
// marks share one read of the platform.
type Hosts struct {
	list  platform.Hosts
	store *Store
}

// NewHosts returns a Hosts that reads from hosts and adds the marks to store.
func NewHosts(hosts platform.Hosts, store *Store) *Hosts {
	return &Hosts{list: hosts, store: store}
}

// Hosts reads the host list and adds its marks to the store.
func (h *Hosts) Hosts(ctx context.Context) (platform.HostList, error) {
	list, err := h.list.Hosts(ctx)
	if err != nil {
		return list, errors.Trace(err)
	}
	h.store.Read(list)
	return list, nil
}
