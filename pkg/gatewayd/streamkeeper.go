package gatewayd

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/apex/log"
	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"

	"github.com/flamingowind/flamingowind/internal/patience"
	"github.com/flamingowind/flamingowind/internal/waiting"
	"github.com/flamingowind/flamingowind/pkg/affinity"
	"github.com/flamingowind/flamingowind/pkg/backoff"
)

// StreamStore keeps records of streams: at which software version they began.
type StreamStore interface {
	// ReadStreams calls visit, at least once, with parts of all rows and the store's clock as of the call.
	ReadStreams(ctx context.Context, visit func(rows []affinity.BatchRow, clock time.Duration)) error
	// WriteStreams adds rows and removes others at once. It returns the store's clock.
	WriteStreams(ctx context.Context, add []affinity.BatchRow, remove []string) (clock time.Duration, err error)
	// Era returns how often the store was restored from a copy, as of its newest response.
	Era() int64
}

const (
	// streamsInterval is the time between two writes of records while streams begin all the time; what began since the
	// last one is lost if all routers are killed.
	streamsInterval = 250 * time.Millisecond
	// streamsDelay is how long a record waits for others, streamsBurst the number of writes that may follow each other so
	// soon after a pause.
	streamsDelay = 50 * time.Millisecond
	streamsBurst = 4
	// streamWriters is the number of routers that write the records of the whole fleet: one may be cut off from
	// the store.
	streamWriters = 2
)

// streamKeeper is the duty that keeps records of streams in the store, for a fleet whose routers are all killed.
type streamKeeper struct {
	store   StreamStore
	tracker *affinity.Tracker
	ranking ranking
	// joined reports whether the router knows its rank.
	joined   func() bool
	log      log.Interface
	rows     *affinity.Rows
	failures backoff.Backoff
	limit    *patience.Limit
	// reading ties the store's clock to this router's, as of the newest answer.
	reading affinity.Reading
	era     int64
	// pace is that of writes.
	pace *rate.Limiter
	// writes says whether the router writes records.
	writes bool
	// unreadable says that a row that can't be read was logged.
	unreadable bool
	stats      streamStats
}

func newStreamKeeper(s StreamStore, t *affinity.Tracker, r ranking, joined func() bool, limit *patience.Limit, l log.Interface, scope tally.Scope) *streamKeeper {
	// Two lives of a router must not write the same rows.
	life := strconv.FormatUint(rand.Uint64(), 16)
	return &streamKeeper{store: s, tracker: t, ranking: r, joined: joined, log: l, rows: affinity.NewRows(life), limit: limit, pace: rate.NewLimiter(rate.Every(streamsInterval), streamsBurst), stats: newStreamStats(scope)}
}

// keepStreams makes records of streams be kept in a store, if there is one.
func (p *Process) keepStreams(s StreamStore, limit *patience.Limit, l log.Interface) {
	if s == nil {
		return
	}
	p.streams.RequireRecords()
	p.streamKeeper = newStreamKeeper(s, p.streams, p.fleet, p.joiner.Settled, limit, l, p.metrics.Scope)
}

// run reads the records once and keeps later ones until ctx ends.
func (k *streamKeeper) run(ctx context.Context) {
	for !k.load(ctx) {
		if !waiting.For(ctx, k.failures.Failed(k.ranking.Count())) {
			return
		}
	}
	k.failures.Succeeded()
	k.era = k.store.Era()
	for k.wait(ctx) {
		err := k.round(ctx, time.Now())
		if err == nil {
			k.failures.Succeeded()
			continue
		}
		k.log.WithError(err).WithField("event", "streams_unkept").Debug("records of streams can't be read from or written to the store")
		if !waiting.For(ctx, k.failures.Failed(k.ranking.Count())) {
			return
		}
	}
}

// wait waits for the next round, which is due soon after a record came; false when ctx has ended.
func (k *streamKeeper) wait(ctx context.Context) bool {
	timer := time.NewTimer(streamsInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	case <-k.tracker.Unkept():
		return waiting.For(ctx, streamsDelay) && k.pace.Wait(ctx) == nil
	}
}

// load reads the records that the store has, and reports whether it could.
func (k *streamKeeper) load(ctx context.Context) bool {
	began := time.Now()
	var rows []affinity.BatchRow
	err := k.read(ctx, func(row affinity.BatchRow, _ affinity.Reading) { rows = append(rows, row) })
	line := k.log.WithFields(k.merge(rows)).WithFields(log.Fields{"event": "streams_read", "took_ms": time.Since(began).Milliseconds()})
	k.tracker.RecordsTried(err == nil)
	if err != nil {
		line.WithError(err).Debug("the records of streams can't be read from the store")
		return false
	}
	line.Info("records of streams were read from the store")
	return true
}

// merge takes over rows, and returns what became of them.
func (k *streamKeeper) merge(rows []affinity.BatchRow) log.Fields {
	rd, redated := k.reading.Redated(rows)
	if redated {
		k.log.WithFields(log.Fields{"event": "streams_redated", "by_ms": (k.reading.Clock - rd.Clock).Milliseconds()}).Warn("the rows of records in the store don't fit its clock")
	}
	records, leftOut := 0, 0
	for _, row := range rows {
		n, err := k.tracker.MergeBatch(row.Value, rd, time.Now())
		k.noteUnreadable(row.Key, err)
		if records += n; n == 0 {
			leftOut++
		}
	}
	return log.Fields{"rows": len(rows), "rows_left_out": leftOut, "records": records}
}

// read visits all rows.
func (k *streamKeeper) read(ctx context.Context, visit func(affinity.BatchRow, affinity.Reading)) error {
	return k.limit.Do(ctx, storeTimeout, func(ctx context.Context) error {
		sent := time.Now()
		return k.store.ReadStreams(ctx, func(rows []affinity.BatchRow, clock time.Duration) {
			k.note(affinity.Reading{Sent: sent, Received: time.Now(), Clock: clock})
			sent = time.Now()
			for _, row := range rows {
				visit(row, k.reading)
			}
		})
	})
}

// note takes over a reading of the store's clock. If that was set, the rows that were written have the wrong dates, and
// all that is known is written again.
func (k *streamKeeper) note(rd affinity.Reading) {
	by := rd.SetSince(k.reading)
	k.reading = rd
	if by == 0 {
		return
	}
	k.log.WithFields(log.Fields{"event": "store_clock_set", "by_ms": by.Milliseconds()}).Warn("the store's clock was set")
	k.tracker.KeepAgain()
	k.rows.SweepAgain(rd.Received, k.tracker.RowLife())
}

func (k *streamKeeper) noteUnreadable(key string, err error) {
	if err == nil || k.unreadable {
		return
	}
	k.unreadable = true
	k.log.WithError(err).WithFields(log.Fields{"event": "streams_unreadable", "key": key}).Warn("a row of records of streams in the store can't be read")
}

// round writes the records that aren't in the store yet, and removes rows that are too old.
func (k *streamKeeper) round(ctx context.Context, now time.Time) error {
	if !k.tracker.KnowsLife() {
		return nil // rows that are needed would be removed
	}
	life := k.tracker.RowLife()
	if era := k.store.Era(); era != k.era {
		k.era = era
		k.tracker.KeepAgain()
		k.rows.SweepAgain(now, life)
	}
	rank, joined := k.ranking.Rank(), k.joined()
	k.setWriter(joined && rank < streamWriters, rank)
	list := k.tracker.TakeUnkept(k.writes, now)
	k.rows.SetSweeper(joined && rank == 0, now, life)
	k.stats.note(k.log, len(list), k.tracker.LostRecords(), now)
	remove := k.rows.Removable(now, len(list) > 0, life)
	switch {
	case len(list)+len(remove) > 0:
		return k.write(ctx, list, remove, now)
	case k.rows.SweepDue(now):
		return k.sweep(ctx, life)
	}
	return nil
}

// setWriter logs when the router begins or ceases to write records.
func (k *streamKeeper) setWriter(writes bool, rank int) {
	if k.writes == writes {
		return
	}
	k.writes = writes
	k.log.WithFields(log.Fields{"event": "streams_writer", "writes": writes, "rank": rank}).Info("who writes the records of streams has changed")
}

// write writes records and removes rows with one call.
func (k *streamKeeper) write(ctx context.Context, list []affinity.Record, remove []string, now time.Time) error {
	rows, err := k.encode(list, now)
	if err != nil {
		return err
	}
	sent, clock := time.Now(), time.Duration(0)
	err = k.limit.Do(ctx, storeTimeout, func(ctx context.Context) (err error) {
		clock, err = k.store.WriteStreams(ctx, rows, remove)
		return err
	})
	if err != nil {
		k.tracker.ReturnUnkept(list)
		k.rows.Unanswered(now, k.tracker.RowLife())
		return errors.Trace(err)
	}
	received := time.Now()
	k.note(affinity.Reading{Sent: sent, Received: received, Clock: clock})
	keys := make([]string, 0, len(rows))
	for _, row := range rows {
		keys = append(keys, row.Key)
	}
	k.rows.Written(keys, received, k.tracker.RowLife())
	k.rows.Removed(remove)
	k.stats.written(len(list), len(rows), len(remove))
	return nil
}

// encode returns the rows for records.
func (k *streamKeeper) encode(list []affinity.Record, now time.Time) ([]affinity.BatchRow, error) {
	var rows []affinity.BatchRow
	for len(list) > 0 {
		n := min(len(list), affinity.MaxBatch)
		value, err := affinity.EncodeBatch(list[:n], k.reading, now)
		if err != nil {
			return nil, err
		}
		rows, list = append(rows, affinity.BatchRow{Key: k.rows.NextKey(), Value: value}), list[n:]
	}
	return rows, nil
}

// sweep searches the table for rows that nobody else removes.
func (k *streamKeeper) sweep(ctx context.Context, life time.Duration) error {
	var s *affinity.Sweep
	err := k.read(ctx, func(row affinity.BatchRow, rd affinity.Reading) {
		if s == nil {
			s = k.rows.Sweep(rd, life)
		}
		k.noteUnreadable(row.Key, s.See(row.Key, row.Value))
	})
	if err != nil {
		return errors.Trace(err)
	}
	if s == nil {
		s = k.rows.Sweep(k.reading, life)
	}
	s.End(time.Now())
	return nil
}
