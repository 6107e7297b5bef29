package placement

import "time"

// spare gives the part of the requests of organisations over their share that the candidates have
// room for, and the work that others are expected to give to the fitting ones, whose costs are
// left in s.
//
// Guard: few engines are idle enough for work over its share, and all routers see the same ones
// until the next reports. Many times more requests came to one of them than it had room for, and
// whoever came after them waited for far longer than expected.
// So each router lets its request have the part of the room that it is of all that come
// meanwhile. What is left over shows in the next reports.
//
// The room is counted in requests like this one. A long prompt finds less of it than a short
// one and gives way first: counted in work, long prompts push out more than they bring.
func (r *Request) spare(s *scratch, p Pace) (part float64, meanwhile time.Duration) {
	room, work := 0.0, time.Duration(0)
	s.costs = s.costs[:0]
	for i := range s.fitting {
		room += r.room(s.fitting[i], p)
		work += added(*r, s.fitting[i], p)
		s.costs = append(s.costs, s.fitting[i].Cost)
	}
	others := min(room, r.Unseen.Spare)
	meanwhile = time.Duration(others * float64(work) / float64(len(s.fitting)))
	return min(1, room/(1+r.Unseen.Spare)), meanwhile
}

// room is how many requests like this one a candidate takes before they no longer fit; one at
// least, as this one fits.
func (r *Request) room(c Choice, p Pace) float64 {
	room := float64(r.Service.Engine.Slots)
	if r.Limits.Occupancy > 0 {
		room *= r.Limits.Occupancy
	}
	room -= float64(c.Candidate.Load.Running)
	if each := added(*r, c, p); each > 0 {
		room = min(room, float64(max(0, r.Limits.OwnQueue-c.Queue))/float64(each))
	}
	return max(1, room)
}
