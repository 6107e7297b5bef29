package placement

import "time"

// queueExcess is how far the queues of a service exceed the limit of a call once the work that
// other routers have assigned since their reports is spread over the instances; 0 when it is within
// the limit. workCosts are the instances' costs that follow from work alone.
//
// Reports may be as old as a call is long. Without this check all routers see free slots that they
// have filled together, and full instances refuse most calls. Handicaps don't count here: an
// instance that fails now and then costs more but is no fuller.
func (r *Request) queueExcess(c Candidate, workCosts []time.Duration, unseen time.Duration, speed Speed) time.Duration {
	if speed.CallTime <= 0 {
		return 0
	}
	level := fillLevel(workCosts, unseen)
	slots := max(1, c.Instance.Slots)
	perCall := speed.CallTime / time.Duration(slots)
	maxQueued := int(r.Limits.Queue / max(1, perCall))
	allowed := time.Duration(maxQueued)*perCall + batchCost(Load{Running: slots + maxQueued}, slots)
	return max(0, level-allowed)
}
