package booking

import "time"

// Stats are sums over the asks of a router since its start.
type Stats struct {
	// AtOnce and Later are prompts with a turn, NoRoom those that no engine had room for in time,
	// Unanswered those whose keeper didn't answer in time, Unasked those without a keeper.
	AtOnce, Later, NoRoom, Unanswered, Unasked int64
	// Delayed is the sum of the delays of Later, Waited that of the times until an answer.
	Delayed, Waited time.Duration
}

func (s *Stats) add(r Result, waited time.Duration) {
	s.Waited += waited
	switch {
	case r.Keeper == "":
		s.Unasked++
	case !r.Asked:
		s.Unanswered++
	case r.Answer.Offer == None:
		s.NoRoom++
	case r.Answer.DelayMs > 0:
		s.Later++
		s.Delayed += r.Answer.Delay()
	default:
		s.AtOnce++
	}
}

// Asks is the number of asks.
func (s *Stats) Asks() int64 { return s.AtOnce + s.Later + s.NoRoom + s.Unanswered + s.Unasked }

// Since returns the sums since an earlier state.
func (s *Stats) Since(earlier Stats) Stats {
	return Stats{AtOnce: s.AtOnce - earlier.AtOnce, Later: s.Later - earlier.Later, NoRoom: s.NoRoom - earlier.NoRoom,
		Unanswered: s.Unanswered - earlier.Unanswered, Unasked: s.Unasked - earlier.Unasked,
		Delayed: s.Delayed - earlier.Delayed, Waited: s.Waited - earlier.Waited}
}

// Stats returns the sums so far.
func (c *Client) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stats
}
