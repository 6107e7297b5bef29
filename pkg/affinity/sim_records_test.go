package affinity

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"time"
)

// Times of the simulated fleet's keeping of records, as the product has them.
const (
	simKeeping = 250 * time.Millisecond
	simWriters = 2
	// simClockSets is how often in a second the store's clock is set.
	simClockSets = 0.02
	// simJoin is how long a router that starts takes to know its rank.
	simJoin = 600 * time.Millisecond
)

// simBatch is a write of rows of records that the store performs late.
type simBatch struct {
	add    []BatchRow
	remove []string
	due    time.Time
}

// simKeeper is a router's keeping of records in the simulated store.
type simKeeper struct {
	rows    *Rows
	reading Reading
	next    time.Time
	era     int64
	loaded  bool
}

func newSimKeeper(index int, started time.Time) simKeeper {
	return simKeeper{rows: NewRows(fmt.Sprintf("%d-%d", index, started.UnixMilli()))}
}

// disturbRecords sets the clock by which records are dated, performs writes late, and copies and restores the rows of records with the rest of the store.
func (st *simStore) disturbRecords(clocks *rand.Rand, now time.Time) {
	if clocks.Float64() < simClockSets*simStep.Seconds() {
		st.clockSet += time.Duration(clocks.Int64N(int64(4*time.Minute))) - 2*time.Minute
	}
	var left []simBatch
	for _, w := range st.lateBatches {
		if w.due.After(now) {
			left = append(left, w)
		} else {
			st.performBatch(w)
		}
	}
	st.lateBatches = left
	st.mostRows = max(st.mostRows, len(st.batches))
}

func (st *simStore) performBatch(w simBatch) {
	for _, row := range w.add {
		st.batches[row.Key] = row.Value
	}
	for _, key := range w.remove {
		delete(st.batches, key)
	}
}

// rank is the place in the fleet's order that a router takes for its own.
func (r *simRouter) rank() int {
	rank := 0
	for i := range r.index {
		if h := r.heard[i]; !h.at.IsZero() && r.sim.now.Sub(h.at) <= simAlive {
			rank++
		}
	}
	return rank
}

// keepRecords reads the records of streams once, and keeps later ones, as a router's process does.
func (s *sim) keepRecords(r *simRouter) {
	if s.unkept || s.now.Before(r.keeper.next) {
		return
	}
	k := &r.keeper
	k.next = s.now.Add(simKeeping)
	unreachable := s.now.Before(r.cutUntil) || s.now.Before(r.blindUntil) || s.now.Before(s.storeDown)
	switch {
	case !unreachable:
		rd := Reading{Sent: s.now, Received: s.now, Clock: s.now.Sub(time.Unix(0, 0)) + s.store.clockSet, Era: s.store.era}
		set := rd.SetSince(k.reading)
		if k.reading = rd; set != 0 {
			r.KeepAgain()
			k.rows.SweepAgain(s.now, r.RowLife())
		}
	case !k.loaded:
		r.RecordsTried(false)
		return
	}
	if !k.loaded {
		s.load(r)
		return
	}
	if !unreachable && k.era != s.store.era {
		k.era = s.store.era
		r.KeepAgain()
		k.rows.SweepAgain(s.now, r.RowLife())
	}
	s.keepRound(r, unreachable)
}

func (s *sim) load(r *simRouter) {
	var rows []BatchRow
	for key, value := range s.store.batches {
		rows = append(rows, BatchRow{Key: key, Value: value})
	}
	rd, _ := r.keeper.reading.Redated(rows)
	for _, row := range rows {
		if _, err := r.MergeBatch(row.Value, rd, s.now); err != nil && s.store.clockSet == 0 {
			panic(err)
		}
	}
	r.RecordsTried(true)
	r.keeper.loaded, r.keeper.era = true, s.store.era
}

func (s *sim) keepRound(r *simRouter, unreachable bool) {
	k, joined := &r.keeper, s.now.Sub(r.started) > simJoin
	list := r.TakeUnkept(joined && r.rank() < simWriters, s.now)
	k.rows.SetSweeper(joined && r.rank() == 0, s.now, r.RowLife())
	remove := k.rows.Removable(s.now, len(list) > 0, r.RowLife())
	switch {
	case len(list)+len(remove) > 0:
		s.writeRecords(r, list, remove, unreachable)
	case k.rows.SweepDue(s.now) && !unreachable:
		sweep := k.rows.Sweep(k.reading, r.RowLife())
		for key, value := range s.store.batches {
			if err := sweep.See(key, value); err != nil && s.store.clockSet == 0 {
				panic(err)
			}
		}
		sweep.End(s.now)
	}
}

func (s *sim) writeRecords(r *simRouter, list []Record, remove []string, unreachable bool) {
	var w simBatch
	for rest := list; len(rest) > 0; {
		n := min(len(rest), MaxBatch)
		value, err := EncodeBatch(rest[:n], r.keeper.reading, s.now)
		if err != nil {
			panic(err)
		}
		w.add, rest = append(w.add, BatchRow{Key: r.keeper.rows.NextKey(), Value: value}), rest[n:]
	}
	w.remove = remove
	unanswered := s.random.IntN(8) == 0
	if unanswered && !unreachable && s.random.IntN(2) == 0 {
		w.due = s.upTo(6 * time.Second)
		s.store.lateBatches = append(s.store.lateBatches, w)
	}
	if unanswered || unreachable || s.now.Before(s.store.refusing) {
		r.ReturnUnkept(list)
		r.keeper.rows.Unanswered(s.now, r.RowLife())
		return
	}
	s.store.performBatch(w)
	var keys []string
	for _, row := range w.add {
		keys = append(keys, row.Key)
	}
	r.keeper.rows.Written(keys, s.now, r.RowLife())
	r.keeper.rows.Removed(w.remove)
}

// copyRecords and restoreRecords are the store's copy of the rows.
func (st *simStore) copyRecords() { st.copiedBatches = maps.Clone(st.batches) }

func (st *simStore) restoreRecords() {
	st.batches, st.lateBatches = maps.Clone(st.copiedBatches), nil
	if st.batches == nil {
		st.batches = make(map[string][]byte)
	}
}
