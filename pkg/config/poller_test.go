package config_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/config"
	"github.com/flamingowind/flamingowind/pkg/platform"
	"github.com/flamingowind/flamingowind/pkg/platform/platformtest"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// slowTable answers a read only when release is closed.
type slowTable struct {
	*platformtest.Table
	release chan struct{}
}

func (t slowTable) Get(ctx context.Context, key string) (platform.Row, error) {
	row, err := t.Table.Get(context.WithoutCancel(ctx), key)
	<-t.release
	return row, err
}

type always bool

func (a always) Among(string, int) bool { return bool(a) }

// A router is paused right after the table answered its read; operators change the
// configuration; the router wakes up and handles the answer. Counted from its receipt
// the old version would look fresh, and callers would be served by it for seconds.
func TestPausedRouterDistrustsOldAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := slowTable{new(platformtest.Table), make(chan struct{})}
		writer := config.NewStore(table.Table, config.StoreOptions{})
		first := mustWrite(t, writer, putOrg("a", "north", 1))
		live := config.NewLive(config.LiveOptions{ConfirmWithin: confirmWithin})
		require.NoError(t, live.Adopt(time.Now(), first.Snapshot))
		poller := config.NewPoller(config.NewStore(table, config.StoreOptions{}), live, always(true),
			config.PollerOptions{Poll: pollEvery, ConfirmWithin: confirmWithin, ReadTimeout: time.Hour, Log: quiet})
		read := make(chan bool)
		go func() { read <- poller.Step(t.Context(), time.Now()) }()
		synctest.Wait()
		<-time.After(confirmWithin + time.Second)
		mustWrite(t, writer, putOrg("b", "north", 2))
		close(table.release)
		require.True(t, <-read)
		require.Equal(t, config.BasisNone, live.Basis(time.Now()))
		require.Error(t, live.Admit(time.Now()))
	})
}

// A change is accepted at one router while the table goes out. The others must get it
// from that router: it is accepted, so callers may rely on it.
func TestSyncerFetchesFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := new(platformtest.Table)
		store := config.NewStore(table, config.StoreOptions{})
		result := mustWrite(t, store, putOrg("a", "north", 1))
		source := config.NewLive(config.LiveOptions{ConfirmWithin: confirmWithin})
		require.NoError(t, source.Adopt(time.Now(), result.Snapshot))
		table.SetDown(true)

		live := config.NewLive(config.LiveOptions{ConfirmWithin: confirmWithin})
		behind := config.NewStore(table, config.StoreOptions{})
		peer := peerAsker{config.NewExchange(store, source), config.NewExchange(behind, live)}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			config.NewSyncer(behind, live, peer, config.SyncerOptions{PeerWait: pollEvery, Retry: pollEvery, Log: quiet}).Run(ctx)
		}()
		live.PeerVersion("router-1", source.Version())
		synctest.Wait()
		require.EqualValues(t, 1, live.Version())
		require.Error(t, live.Admit(time.Now()), "known, but not confirmed")
		cancel()
		<-done
	})
}

// peerAsker answers an ask at once from another router's exchange.
type peerAsker struct{ from, to *config.Exchange }

func (p peerAsker) AskConfig(_ wire.RouterID, ask wire.ConfigAsk) {
	if data, ok := p.from.Ask(ask); ok {
		_ = p.to.Data(time.Now(), data)
	}
}

// A damaged peer sends a snapshot with a fault, or under a wrong version. It must not
// take effect, not even in part.
func TestDataIsValidatedWhole(t *testing.T) {
	store := config.NewStore(new(platformtest.Table), config.StoreOptions{})
	live := config.NewLive(config.LiveOptions{ConfirmWithin: confirmWithin})
	exchange := config.NewExchange(store, live)
	result := mustWrite(t, store, putOrg("a", "north", 1))
	other := config.NewLive(config.LiveOptions{ConfirmWithin: confirmWithin})
	require.NoError(t, other.Adopt(start, result.Snapshot))
	data, ok := config.NewExchange(store, other).Ask(wire.ConfigAsk{})
	require.True(t, ok)
	require.Error(t, exchange.Data(start, wire.ConfigData{Version: 9, Data: data.Data}))
	require.Error(t, exchange.Data(start, wire.ConfigData{Version: 1, Data: data.Data[:len(data.Data)/2]}))
	require.Nil(t, live.Current())
	require.NoError(t, exchange.Data(start, data))
	require.EqualValues(t, 1, live.Version())
}

// headReads counts reads in a healthy fleet in which each router pings one random
// peer each tick, and the oldest confirmation that any router had.
func headReads(routers int) (perSecond float64, oldest time.Duration) {
	const warmUp, measured = 40, 240
	w := newWorld(routers, 3)
	w.healthy = true
	w.write(w.routers[0])
	for range warmUp {
		w.step(1)
	}
	before := w.table.Reads()
	for range measured {
		w.step(1)
		for _, r := range w.routers {
			age, _ := r.live.Confirmed(w.now)
			oldest = max(oldest, age)
		}
	}
	seconds := (measured * tick).Seconds()
	return float64(w.table.Reads()-before) / seconds, oldest
}

// The table gives about two thousand reads a second to all. Confirmation must cost it
// a small part of that, also with 330 routers, and reach every router in time.
func TestConfirmationCostsFewReads(t *testing.T) {
	for _, c := range []struct {
		routers int
		most    float64
	}{{8, 4}, {330, 120}} {
		reads, oldest := headReads(c.routers)
		t.Logf("%d routers: %.1f reads a second, oldest confirmation %s", c.routers, reads, oldest)
		require.LessOrEqual(t, reads, c.most)
		require.Less(t, oldest, confirmWithin)
	}
}
