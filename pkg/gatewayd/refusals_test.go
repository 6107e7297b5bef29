package gatewayd

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/internal/patience"
	"github.com/flamingowind/flamingowind/pkg/gateway"
	"github.com/flamingowind/flamingowind/pkg/quarantine"
)

// refusalRow is a store with the row of refusals alone.
type refusalRow struct {
	mu     sync.Mutex
	value  []byte
	writes atomic.Int32
	era    atomic.Int64
}

func (r *refusalRow) ReadRefusals(context.Context) ([]byte, error) { return r.stored(), nil }

func (r *refusalRow) stored() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.value
}

// restore makes the store come back, in an era, from a copy with that value.
func (r *refusalRow) restore(value []byte, era int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.value = value
	r.era.Store(era)
}

func (r *refusalRow) Era() int64 { return r.era.Load() }

func (r *refusalRow) WriteRefusals(_ context.Context, value []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.value = value
	r.writes.Add(1)
	return nil
}

// onlyRouter is the ranking of a fleet of one.
type onlyRouter struct{}

func (onlyRouter) Rank() int  { return 0 }
func (onlyRouter) Count() int { return 1 }

// live runs a router's keeper for a while, and returns the router's book.
func (r *refusalRow) live(firstStart bool, act func(*quarantine.Book)) {
	ctx, end := context.WithCancel(context.Background())
	var running sync.WaitGroup
	defer running.Wait()
	defer end()
	book := gateway.NewQuarantine()
	k := &refusalKeeper{store: r, book: book, ranking: onlyRouter{}, log: &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}, limit: patience.NewLimit(maxStoreTimeout)}
	running.Go(func() { k.run(ctx, firstStart) })
	time.Sleep(time.Second)
	act(book)
	time.Sleep(time.Second)
}

// Guards against a request, or a part, that crashes up to the limit of upstreams again after all routers
// have restarted.
func TestSuspicionsSurviveARestartOfAllRouters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const content, part = 7, 8
		row := new(refusalRow)
		row.live(true, func(b *quarantine.Book) {
			for u := range uint32(gateway.CrashLimit - 1) {
				b.Contents.RecordCrash(content, u, true)
			}
			for u := range uint32(gateway.PartCrashLimit - 1) {
				b.Parts.RecordPartCrashes([]uint64{part}, 100+u)
			}
		})
		row.live(false, func(b *quarantine.Book) {
			require.NoError(t, b.Contents.Check(content))
			require.NoError(t, b.Parts.Check(part))
			b.Contents.RecordCrash(content, 200, true)
			b.Parts.RecordPartCrashes([]uint64{part}, 201)
			time.Sleep(time.Second)
			require.Error(t, b.Contents.Check(content))
			require.Error(t, b.Parts.Check(part))
		})
		writes := row.writes.Load()
		row.live(false, func(b *quarantine.Book) {
			require.Error(t, b.Contents.Check(content))
			require.Error(t, b.Parts.Check(part))
			b.Contents.RecordCrash(content, 300, true)
		})
		require.Equal(t, writes, row.writes.Load(), "the store has it already")
	})
}

// Guards against a suspicion that outlives its refutation in the store.
func TestWhatIsClearedLeavesTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		row := new(refusalRow)
		row.live(true, func(b *quarantine.Book) {
			b.Parts.RecordPartCrashes([]uint64{8}, 1)
			b.Parts.RecordPartCrashes([]uint64{8}, 2)
			time.Sleep(time.Second)
			require.NotZero(t, row.writes.Load())
			b.Parts.RecordCompletion(8)
		})
		row.live(false, func(b *quarantine.Book) { require.Zero(t, b.Parts.CrashCount(8)) })
	})
}

// Guards against refusals that a store which came back from a copy lacks, or has though they were cleared: after a
// restart of all routers upstreams would crash again, or sound requests be refused.
func TestRefusalsAreWrittenAgainAfterACopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const content, part = 7, 8
		row := new(refusalRow)
		row.era.Store(1)
		row.live(true, func(b *quarantine.Book) {
			b.Parts.RecordPartCrashes([]uint64{part}, 1)
			b.Parts.RecordPartCrashes([]uint64{part}, 2)
			time.Sleep(time.Second)
			suspected := row.stored()
			b.Parts.RecordCompletion(part)
			time.Sleep(time.Second)
			row.restore(suspected, 2)
		})
		row.live(false, func(b *quarantine.Book) {
			require.Zero(t, b.Parts.CrashCount(part), "it was cleared before the copy came back")
			for u := range uint32(gateway.CrashLimit) {
				b.Contents.RecordCrash(content, u, true)
			}
			time.Sleep(time.Second)
			row.restore(nil, 3)
		})
		row.live(false, func(b *quarantine.Book) { require.Error(t, b.Contents.Check(content)) })
	})
}
