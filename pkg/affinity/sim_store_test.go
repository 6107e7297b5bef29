package affinity

import (
	"encoding/json"
	"time"
)

// simRow is the register's row in the simulated store, simCopy the state of the store at one moment.
type simRow struct {
	value   []byte
	version int64
}

// simWrite is a write that the store performs late, if its condition still holds then.
type simWrite struct {
	row simRow
	// after is the version that the row must have, due when the write is performed.
	after int64
	due   time.Time
}

// simStore is the simulated store, as far as the register and the records of streams are concerned.
type simStore struct {
	row  simRow
	copy simRow
	era  int64
	ver  int64
	late []simWrite
	// batches are the rows of records, mostRows the largest number of them so far.
	batches, copiedBatches map[string][]byte
	lateBatches            []simBatch
	mostRows               int
	// clockSet is by how much its clock was set, as far as records are dated by it.
	clockSet time.Duration
	// refusing is until when the store refuses all writes, though it serves reads.
	refusing time.Time
}

// disturbStore makes the store refuse writes, and come back from a copy.
func (s *sim) disturbStore() {
	st := &s.store
	if s.chance(0.05) {
		st.refusing = s.upTo(50 * time.Second)
	}
	if s.chance(0.2) {
		st.copy = st.row
		st.copyRecords()
	}
	if s.chance(0.03) {
		st.era++
		st.row, st.late = st.copy, nil
		st.restoreRecords()
	}
	var left []simWrite
	for _, w := range st.late {
		if w.due.After(s.now) {
			left = append(left, w)
		} else {
			s.perform(w)
		}
	}
	st.late = left
	st.disturbRecords(s.configs, s.now)
}

func (s *sim) perform(w simWrite) bool {
	if s.store.row.version != w.after {
		return false
	}
	s.store.ver++
	w.row.version = s.store.ver
	s.store.row = w.row
	return true
}

// simEarly is how much older than a router's first list the register may be that it read at its start.
const simEarly = 2 * time.Second

// simEarlyRead is the register as a router read it at its start.
type simEarlyRead struct {
	rd  Reading
	row simRow
}

func (s *sim) readRegister() (Reading, simRow) {
	return Reading{Sent: s.now, Received: s.now, Clock: s.now.Sub(time.Unix(0, 0)), Era: s.store.era}, s.store.row
}

// register lets a router keep the register, as its process does.
func (s *sim) register(r *simRouter) {
	if s.now.Before(r.nextRegister) || !r.RegisterDuty(r.index, s.now).Due() {
		return
	}
	r.nextRegister = s.upTo(time.Second)
	if s.now.Before(r.cutUntil) || s.now.Before(r.blindUntil) || s.now.Before(s.storeDown) {
		return
	}
	rd, read := s.readRegister()
	if early := r.early; early != nil {
		r.early = nil
		if s.now.Sub(early.rd.Sent) < simEarly {
			rd, read = early.rd, early.row
		}
	}
	last, err := DecodeRegister(read.value, rd)
	if err != nil {
		panic(err)
	}
	r.TakeRegister(last, rd, s.now)
	if !r.RegisterDuty(r.index, s.now).Write {
		return
	}
	next := r.NextRegister(last, rd, s.now)
	value, err := json.Marshal(next)
	if err != nil {
		panic(err)
	}
	w := simWrite{row: simRow{value: value}, after: read.version}
	switch {
	case s.now.Before(s.store.refusing):
	case s.random.IntN(4) == 0: // no answer: performed late, or never
		if w.due = s.upTo(6 * time.Second); s.random.IntN(2) == 0 {
			s.store.late = append(s.store.late, w)
		}
	case s.perform(w):
		r.TakeRegister(&next, rd, s.now)
	}
}
