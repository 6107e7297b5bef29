package gatewayd

import (
	"context"
	"encoding/json"
	"hash/fnv"
	"strconv"
	"time"

	"github.com/apex/log"

	"github.com/flamingowind/flamingowind/internal/patience"
	"github.com/flamingowind/flamingowind/internal/waiting"
	"github.com/flamingowind/flamingowind/pkg/backoff"
	"github.com/flamingowind/flamingowind/pkg/gateway"
	"github.com/flamingowind/flamingowind/pkg/quarantine"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// RefusalStore keeps what the routers refuse for crashes of upstreams, and what they suspect, for a fleet whose
// routers all restart.
type RefusalStore interface {
	// ReadRefusals returns what was last written; nil for nothing.
	ReadRefusals(ctx context.Context) ([]byte, error)
	WriteRefusals(ctx context.Context, value []byte) error
	// Era returns how often the store was restored from a copy, as of its newest response.
	Era() int64
}

const (
	// refusalInterval is the time between two looks for what isn't in the store.
	refusalInterval = 250 * time.Millisecond
	// maxRefusalBytes bounds the row of refusals; further ones are left out.
	maxRefusalBytes = 16 << 10
	// refusalWriters is the number of routers that write them: one may be cut off from the store.
	refusalWriters = 2
)

// contentUnknown differs from every result of identify.
const contentUnknown = "unknown"

// refusalKeeper is the duty that keeps refusals and serious suspicions in the store.
type refusalKeeper struct {
	store   RefusalStore
	book    *quarantine.Book
	ranking ranking
	log     log.Interface
	// written identifies what is in the store; empty for nothing, contentUnknown if that isn't known.
	written string
	// era is that of the store when it was written or read.
	era   int64
	limit *patience.Limit
}

// run merges the refusals in the store, unless the fleet starts for the first time, and writes later ones
// until ctx ends.
func (k *refusalKeeper) run(ctx context.Context, firstStart bool) {
	var failures backoff.Backoff
	for !firstStart && !k.call(ctx, k.load) && ctx.Err() == nil {
		waiting.For(ctx, failures.Failed(k.ranking.Count()))
	}
	k.era = k.store.Era()
	for failures = (backoff.Backoff{}); waiting.For(ctx, refusalInterval); {
		if era := k.store.Era(); era > max(1, k.era) {
			k.written, k.era = contentUnknown, era // the copy may lack refusals, or have cleared ones
		}
		serious := k.book.Serious()
		if identify(serious) == k.written || k.ranking.Rank() >= refusalWriters {
			continue
		}
		if k.call(ctx, func(ctx context.Context) error { return k.save(ctx, serious) }) {
			failures = backoff.Backoff{}
			continue
		}
		waiting.For(ctx, failures.Failed(refusalWriters))
	}
}

func (k *refusalKeeper) call(ctx context.Context, step func(context.Context) error) bool {
	if err := k.limit.Do(ctx, storeTimeout, step); err != nil {
		k.log.WithError(err).WithField("event", "refusals_unkept").Debug("refusals can't be read from or written to the store")
		return false
	}
	return true
}

func (k *refusalKeeper) load(ctx context.Context) error {
	value, err := k.store.ReadRefusals(ctx)
	if err != nil || len(value) == 0 {
		return err
	}
	var list []wire.Suspicion
	if err := json.Unmarshal(value, &list); err != nil {
		k.log.WithError(err).WithField("event", "refusals_unreadable").Warn("the refusals in the store can't be read")
		return nil
	}
	k.written = identify(list)
	for _, s := range k.book.Merge(list) {
		logMerged(k.log, s, "store")
	}
	return nil
}

func (k *refusalKeeper) save(ctx context.Context, serious []wire.Suspicion) error {
	id := identify(serious)
	value, err := json.Marshal(serious)
	for err == nil && len(value) > maxRefusalBytes {
		serious = serious[:len(serious)/2]
		value, err = json.Marshal(serious)
	}
	if err != nil {
		return err
	}
	if err := k.store.WriteRefusals(ctx, value); err != nil {
		return err
	}
	k.written = id
	k.log.WithFields(log.Fields{"event": "refusals_kept", "subjects": len(serious)}).Info("refusals and serious suspicions are in the store")
	return nil
}

// identify returns a text that is the same for the same subjects with as many crashes, in the same order; the
// crashes after those that refuse a subject make no difference. It is empty for an empty list.
func identify(list []wire.Suspicion) string {
	if len(list) == 0 {
		return ""
	}
	h := fnv.New64a()
	for _, s := range list {
		_, _ = h.Write(strconv.AppendUint(nil, s.Content, 16)) // never fails
		_, _ = h.Write([]byte{0, byte(min(len(s.Crashes), gateway.CrashLimitOf(s)))})
	}
	return strconv.FormatUint(h.Sum64(), 16)
}
