package marks

import (
	"context"

	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/platform"
)

// RecordingHosts reads the host list of the platform and adds the marks in it to a store: membership and
// marks share one read of the platform.
type RecordingHosts struct {
	list  platform.Hosts
	store *Store
}

// NewHosts returns a RecordingHosts that reads from hosts and adds the marks to store.
func NewHosts(hosts platform.Hosts, store *Store) *RecordingHosts {
	return &RecordingHosts{list: hosts, store: store}
}

// Hosts reads the host list and adds its marks to the store.
func (h *RecordingHosts) Hosts(ctx context.Context) (platform.HostList, error) {
	list, err := h.list.Hosts(ctx)
	if err != nil {
		return list, errors.Trace(err)
	}
	h.store.ApplyHostList(list)
	return list, nil
}
