package affinity

import "time"

// message is a report on its way.
type message struct {
	from, to  int
	life      time.Time
	sent, due time.Time
	records   []Record
	statement Statement
	rev       int64
}

// report sends a report to each router in turn.
func (s *sim) report(r *simRouter) {
	if s.now.Sub(r.started)%simExchange >= simStep {
		return
	}
	records := r.TakeRecords(s.now)
	if s.silent {
		records = nil
	}
	statement, _ := r.Statement(s.now)
	for _, to := range s.routers {
		if to != r && s.reaches(r, to) {
			s.flying = append(s.flying, message{from: r.index, to: to.index, life: to.started, sent: s.now, due: s.upTo(100 * time.Millisecond), records: records, statement: statement, rev: r.rev})
		}
	}
}

func (s *sim) deliver() {
	var left []message
	for _, m := range s.flying {
		to := s.routers[m.to]
		switch {
		case m.due.After(s.now), to.up && !to.runs():
			left = append(left, m)
		case to.up && to.started.Equal(m.life):
			to.heard[m.from] = heardReport{at: s.now, madeAt: m.sent, rev: m.rev}
			to.Merge(m.records, s.now)
			to.MergeStatement(m.statement, m.sent, s.now)
		}
	}
	s.flying = left
}
