package placement

import (
	"cmp"
	"time"
)

func evaluateCall(req *Request, c Candidate, speed Speed) Choice {
	c.Load.Running -= req.callsEnded(c, speed)
	wait := callWait(c.Load, c.Instance.Slots, speed)
	cost := wait + c.Handicap + zoneCost(req, &c) + batchCost(c.Load, c.Instance.Slots)
	return Choice{Candidate: c, Wait: wait, Cost: cost, Queue: wait}
}

// callWait is how long a call waits for a slot: for each waiting request the duration of a call
// divided by the number of slots. Until that duration is known, a slot's turn takes its place.
func callWait(l Load, slots int, speed Speed) time.Duration {
	return time.Duration(QueueLength(l, slots)) * cmp.Or(speed.CallTime, speed.SlotTurn) / time.Duration(max(1, slots))
}

// callsEnded estimates the calls that have ended at an instance since its load was counted.
func (r *Request) callsEnded(c Candidate, speed Speed) int {
	if speed.CallTime <= 0 {
		return 0
	}
	busy := min(c.Load.Running, c.Instance.Slots)
	return min(c.Load.Running, int(float64(busy)*float64(r.Unseen.Age)/float64(speed.CallTime)))
}
