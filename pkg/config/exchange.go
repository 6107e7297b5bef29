package config

import (
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/resource"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// Exchange answers and takes the peers' messages about configuration.
type Exchange struct {
	store *Store
	live  *Live

	mu      sync.Mutex
	encoded wire.ConfigData // of the version last asked for
}

// NewExchange returns an Exchange. Snapshots that come from peers are remembered by
// store, which spares a read of the table.
func NewExchange(store *Store, live *Live) *Exchange { return &Exchange{store: store, live: live} }

// Ask answers a peer that asks for something newer; ok is false when there is none.
func (e *Exchange) Ask(ask wire.ConfigAsk) (data wire.ConfigData, ok bool) {
	snap := e.live.Snapshot()
	if snap == nil || snap.Version <= ask.Have {
		return wire.ConfigData{}, false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.encoded.Version == snap.Version {
		return e.encoded, true
	}
	b, err := resource.Encode(snap)
	if err != nil {
		return wire.ConfigData{}, false
	}
	e.encoded = wire.ConfigData{Version: snap.Version, Data: b}
	return e.encoded, true
}

// Data adopts what a peer sent, if it is newer, whole and valid.
func (e *Exchange) Data(now time.Time, data wire.ConfigData) error {
	if data.Version <= e.live.Version() {
		return nil
	}
	snap, err := resource.Decode(data.Data)
	if err != nil {
		return errors.Annotate(err, "configuration from a peer")
	}
	if snap.Version != data.Version {
		return errors.Errorf("a peer sent version %d as version %d", snap.Version, data.Version)
	}
	if err := e.live.Adopt(now, snap); err != nil && !errors.Is(err, ErrOlder) {
		return err
	}
	e.store.remember(snap)
	return nil
}
