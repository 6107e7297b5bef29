package placement

import "time"

// overShareRoom returns the part of the requests of organisations over their share that the
// candidates have room for, and the work that other routers are expected to have assigned to the
// fitting candidates. It leaves the costs of the fitting candidates in s.
//
// Few engines are idle enough for such requests, and all routers see the same ones until the next
// reports. Without this bound one of them gets many times more requests than it has room for, and
// whoever comes after them waits far longer than expected. So each router admits the part of its
// requests that the room is of all requests arriving meanwhile. What is left unused shows in the
// next reports.
//
// The room is counted in requests like this one. A long prompt finds less room than a short one and
// is refused first: counted in work, long prompts displace more than they bring.
func (r *Request) overShareRoom(s *scratch, speed Speed) (admitted float64, unseen time.Duration) {
	headroom, work := 0.0, time.Duration(0)
	s.costs = s.costs[:0]
	for i := range s.fitting {
		headroom += r.headroom(&s.fitting[i], speed)
		work += addedCost(r, &s.fitting[i], speed)
		s.costs = append(s.costs, s.fitting[i].Cost)
	}
	competing := min(headroom, r.Unseen.OverShare)
	unseen = time.Duration(competing * float64(work) / float64(len(s.fitting)))
	return min(1, headroom/(1+r.Unseen.OverShare)), unseen
}

// headroom is the number of requests like this one that a candidate can take before they no longer
// fit; at least one, as this one fits.
func (r *Request) headroom(c *Choice, speed Speed) float64 {
	headroom := float64(r.Service.Engine.Slots)
	if r.Limits.Occupancy > 0 {
		headroom *= r.Limits.Occupancy
	}
	headroom -= float64(c.Candidate.Load.Running)
	if cost := addedCost(r, c, speed); cost > 0 {
		headroom = min(headroom, float64(max(0, r.Limits.ChosenQueue-c.Queue))/float64(cost))
	}
	return max(1, headroom)
}
