package affinity

import (
	"fmt"
	"slices"
	"time"
)

const (
	// maxRemoved is the number of rows that are removed with one call.
	maxRemoved = 90
	// sweepInterval is the time between two searches for rows that nobody else removes, while rows are written.
	sweepInterval = time.Minute
)

// Rows knows which rows of records a writer has to remove from the store: its own, and those that others left
// behind, among them writes that were performed though no answer came.
type Rows struct {
	// writer begins the keys of this router's rows; serial numbers them.
	writer string
	serial uint64
	// own are the rows that were written, the oldest first. found are rows that a search found to be too old.
	own   []ownRow
	found []string
	// sweepAt is when the table is to be searched; zero for not at all.
	sweepAt time.Time
	sweeps  bool
}

type ownRow struct {
	key string
	at  time.Time
}

// NewRows returns the rows of a writer, which has a name of its own in each life.
func NewRows(writer string) *Rows { return &Rows{writer: writer} }

// NextKey returns a key that no row has had.
func (r *Rows) NextKey() string {
	r.serial++
	return fmt.Sprintf("%s-%08x", r.writer, r.serial)
}

// Written records that rows were written at a time.
func (r *Rows) Written(keys []string, at time.Time, life time.Duration) {
	for _, k := range keys {
		r.own = append(r.own, ownRow{key: k, at: at})
	}
	r.sweepLater(at, min(sweepInterval, life))
}

// Unanswered records that a write got no answer, and may be performed.
func (r *Rows) Unanswered(at time.Time, life time.Duration) { r.sweepLater(at, life) }

// SetSweeper sets whether this router searches the table. It does so once after it has become the one.
func (r *Rows) SetSweeper(sweeps bool, now time.Time, life time.Duration) {
	if sweeps && !r.sweeps {
		r.sweepLater(now, life)
	}
	r.sweeps = sweeps
}

func (r *Rows) sweepLater(now time.Time, pause time.Duration) {
	if r.sweepAt.IsZero() {
		r.sweepAt = now.Add(pause)
	}
}

// SweepAgain makes the table be searched after rows have come back that were removed.
func (r *Rows) SweepAgain(now time.Time, life time.Duration) { r.sweepLater(now, life) }

// SweepDue reports whether the table is to be searched now.
func (r *Rows) SweepDue(now time.Time) bool {
	return r.sweeps && !r.sweepAt.IsZero() && !now.Before(r.sweepAt)
}

// Sweep is a search of the table.
type Sweep struct {
	rows *Rows
	rd   Reading
	life time.Duration
	// young says that rows were seen which are to be kept.
	young bool
}

// Sweep begins a search whose answers rd dates.
func (r *Rows) Sweep(rd Reading, life time.Duration) *Sweep {
	r.found = nil
	return &Sweep{rows: r, rd: rd, life: life}
}

// See takes a row into account. One that can't be read is of no use to anybody.
func (s *Sweep) See(key string, value []byte) error {
	b, err := decodeBatch(value, s.rd)
	if err == nil && b.age(s.rd) < s.life {
		s.young = true
		return nil
	}
	s.rows.found = append(s.rows.found, key)
	return err
}

// End ends the search. While rows are left, another one follows.
func (s *Sweep) End(now time.Time) {
	s.rows.sweepAt = time.Time{}
	if s.young {
		s.rows.sweepLater(now, s.life)
	}
}

// Removable returns rows to be removed. If nothing else is written, the own ones wait until all of them are too
// old, which takes the fewest calls.
func (r *Rows) Removable(now time.Time, writes bool, life time.Duration) []string {
	list := slices.Clone(r.found[:min(len(r.found), maxRemoved)])
	if n := len(r.own); !writes && n > 0 && now.Sub(r.own[n-1].at) < life {
		return list
	}
	for _, row := range r.own {
		if len(list) >= maxRemoved || now.Sub(row.at) < life {
			break
		}
		list = append(list, row.key)
	}
	return list
}

// Removed records that rows were removed.
func (r *Rows) Removed(keys []string) {
	gone := make(map[string]bool, len(keys))
	for _, k := range keys {
		gone[k] = true
	}
	r.found = slices.DeleteFunc(r.found, func(k string) bool { return gone[k] })
	r.own = slices.DeleteFunc(r.own, func(row ownRow) bool { return gone[row.key] })
}
