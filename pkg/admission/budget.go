package admission

import "time"

const (
	// maxRefusalShare is the share of the process's CPU time that may go into refusals: serving
	// requests must remain the larger part.
	maxRefusalShare = 0.4
	// initialRefusalCost is the assumed CPU time of a refusal on a whole core until one was
	// measured. minRefusalCost is the lower bound of a measurement.
	initialRefusalCost = 20 * time.Microsecond
	minRefusalCost     = 5 * time.Microsecond
	// refusalCostSamples is the weight of the running mean, in refusals: enough to cover several
	// pauses in which a CPU quota throttles the process.
	refusalCostSamples = 1000
	// maxRefusalBurst is the number of refusals that may be saved up: everything that one batch
	// accepts.
	maxRefusalBurst = maxShedBatch
	// burstPeriod is the time whose CPU share may be saved up for refusals.
	burstPeriod = 100 * time.Millisecond
)

// refusalBudget limits refusals to a share of the CPU time that the process actually gets. Its
// times are readings of the process's CPU clock.
//
// Without a limit, refusing takes the CPU that serving needs, and a router that doesn't know its
// CPU quota can't compute the limit up front. Wall-clock time is no substitute: under a quota a
// batch of refusals fits into one time slice, and uses it up although it is a small part of the
// elapsed time.
type refusalBudget struct {
	// remaining is the CPU time that refusals may use as of updatedAt.
	remaining time.Duration
	updatedAt time.Time
	// cost is the mean CPU time of a refusal.
	cost time.Duration
	// cpuShare is the recent share of a core that the process used or could have used.
	cpuShare cpuShare
}

// newRefusalBudget returns a full budget for a host with the given number of cores; 0 means
// unknown.
func newRefusalBudget(cores float64) refusalBudget {
	if cores <= 0 {
		cores = 1
	}
	b := refusalBudget{cost: time.Duration(float64(initialRefusalCost) / cores), cpuShare: newCPUShare()}
	b.refill()
	return b
}

// limit is the largest CPU time that can be saved up for refusals.
//
// On a host with a small share of a core, a fixed number of refusals can be worth a whole second of
// CPU time. After a stall the router would refuse everything that arrived meanwhile, and serve
// nobody until that is done.
func (b *refusalBudget) limit() time.Duration {
	return min(maxRefusalBurst*b.cost, time.Duration(b.cpuShare.value*float64(burstPeriod)))
}

// replenish adds the refusals' share of the CPU time that has passed until now.
func (b *refusalBudget) replenish(now time.Time) {
	if passed := now.Sub(b.updatedAt); passed > 0 {
		b.remaining = min(b.limit(), b.remaining+time.Duration(maxRefusalShare*float64(passed)))
		b.updatedAt = now
	}
}

// available returns how many connections may be refused now.
func (b *refusalBudget) available(now time.Time) int {
	b.replenish(now)
	return int(b.remaining / b.cost)
}

// spend charges n refusals at their mean cost.
func (b *refusalBudget) spend(n int, now time.Time) {
	b.replenish(now)
	b.remaining -= time.Duration(n) * b.cost
}

// settle replaces the charge for the last n refusals by the CPU time that they took. A measurement
// that is too long leaves no debt.
func (b *refusalBudget) settle(n int, took time.Duration) {
	b.remaining = max(0, b.remaining+time.Duration(n)*b.cost-took)
}

// refill fills the budget, as the CPU is idle.
func (b *refusalBudget) refill() { b.remaining = b.limit() }

// updateCost updates the mean cost by n refusals that took the given time.
func (b *refusalBudget) updateCost(n int, took time.Duration, now time.Time) {
	if n == 0 {
		return
	}
	b.replenish(now)
	sample := max(minRefusalCost, took/time.Duration(n))
	weight := float64(n) / float64(n+refusalCostSamples)
	b.cost += time.Duration(weight * float64(sample-b.cost))
}
