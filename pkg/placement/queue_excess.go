package placement

import "time"

// overPoured is by how much the queue of a service exceeds what a call may find, once
// what others gave meanwhile is poured over its instances, of which busy are the costs by work
// alone; 0 where it doesn't.
//
// Guard: by reports that are as old as a call is long, all routers see room that they have
// filled together, and full instances refuse most of what comes. Instances that fail now and then
// cost more and are no fuller for it.
func (r *Request) overPoured(c Candidate, busy []time.Duration, meanwhile time.Duration, p Pace) time.Duration {
	if p.Call <= 0 {
		return 0
	}
	top := level(busy, meanwhile)
	slots := max(1, c.Instance.Slots)
	each := p.Call / time.Duration(slots)
	most := int(r.Limits.Queue / max(1, each))
	allowed := time.Duration(most)*each + batch(Load{Running: slots + most}, slots)
	return max(0, top-allowed)
}
