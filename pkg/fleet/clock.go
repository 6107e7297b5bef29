package fleet

import "time"

// clock is this router's steady clock, in milliseconds since it started; 1 at least.
func (f *Fleet) clock(now time.Time) int64 { return max(1, now.Sub(f.born).Milliseconds()) }

// madeAfter gives a time after which a question was surely made: it knows a report that this router
// made then. A question that knows none is taken to have been under way for no longer than usual.
//
// Guard: what a peer asked with may have waited here or on its way, so its list is older than it
// says. Taken as it came, two routers that tell each other in turn would keep a list young that
// nobody reads any more, and one behind a cut would hold its list for current as the cut heals.
// Answers are dated from their question.
func (f *Fleet) madeAfter(r *Report, now time.Time) time.Time {
	usual := now.Add(-mostUnderWay)
	if r.Echo <= 0 || r.HaveOf != f.self.Started {
		return usual
	}
	if known := f.born.Add(time.Duration(r.Echo) * time.Millisecond); known.Before(usual) {
		return known
	}
	return usual
}
