package admission

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/flamingowind/flamingowind/pkg/traffic"
)

const (
	// refuserPollInterval is the interval at which connections that are being refused are polled.
	refuserPollInterval = 20 * time.Millisecond
	// maxRefusalsPerPoll bounds the refusals written in one poll. A process that gets little CPU
	// polls less often, so that serving remains the larger part of its work.
	maxRefusalsPerPoll = 160
	// refillDelay is the time without a refusal after which the budget may be refilled.
	refillDelay = time.Second
	// maxPendingRefusals bounds the connections that are being refused, as each holds a descriptor.
	maxPendingRefusals = 768
)

// refuser answers shed connections with a refusal.
type refuser struct {
	// refusal returns the response for connections that are refused now.
	refusal func(now time.Time) []byte
	// processCPU returns the CPU time of the process, threadCPU that of the calling thread.
	processCPU, threadCPU func() time.Duration
	refusedCount          atomic.Int64
	// meter counts bytes; it may be nil.
	meter *traffic.Meter

	mu     sync.Mutex
	budget refusalBudget
	// cpuTime is the CPU clock as last read, including idleCPU. unmeasuredPolling is the CPU time
	// of polls that no measurement includes yet.
	cpuTime           time.Time
	unmeasuredPolling time.Duration
	// idleCPU is the total time in which the CPU was idle.
	idleCPU time.Duration
	// lastRefusal is when the last connection was refused.
	lastRefusal time.Time
	pending     []refusedConn // oldest first
	// maxPending is a lower bound on their number, 0 for none.
	maxPending int
	// response is the refusal as it was built at responseAt.
	response   []byte
	responseAt time.Time
	// scratch is the buffer for bytes that are read and discarded.
	scratch []byte
	// pollScheduled is whether a poll is scheduled.
	pollScheduled bool
	isClosed      bool
}

// refuse answers a connection with a refusal. It reports false when the budget or
// the number of pending ones doesn't allow it; the caller then still owns the connection.
//
// Most requests have arrived when their connection is accepted. They are answered and closed here;
// the others wait for the next poll.
func (r *refuser) refuse(conn refusedConn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.pending) >= r.pendingLimit() || !r.canRefuse() {
		return false
	}
	r.refusedCount.Add(1)
	r.lastRefusal = conn.acceptedAt
	r.budget.spend(1, r.cpuTime)
	if r.isClosed || conn.step(r.currentResponse(conn.acceptedAt), r.scratchBuffer(), r.meter, conn.acceptedAt) {
		conn.close()
		return true
	}
	r.pending = append(r.pending, conn)
	r.schedulePoll()
	return true
}

// setMaxPending bounds the connections that are being refused.
func (r *refuser) setMaxPending(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.maxPending = n
}

func (r *refuser) pendingLimit() int {
	if r.maxPending > 0 {
		return min(r.maxPending, maxPendingRefusals)
	}
	return maxPendingRefusals
}

// canRefuse reports whether one more connection may be refused. It reads the CPU clock again before
// it returns false.
func (r *refuser) canRefuse() bool {
	if r.budget.available(r.cpuTime) >= 1 {
		return true
	}
	r.cpuTime = r.asTime(r.processCPU())
	return r.budget.available(r.cpuTime) >= 1
}

// startTiming reads the CPU clocks before connections are refused.
func (r *refuser) startTiming() cpuTimes {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readClocks()
}

// measure records that n connections were refused since began.
func (r *refuser) measure(n int, began cpuTimes) {
	r.mu.Lock()
	defer r.mu.Unlock()
	took := r.readClocks().since(began)
	if n > 0 {
		r.budget.settle(n, took+r.unmeasuredPolling)
		r.budget.updateCost(n, took+r.unmeasuredPolling, r.cpuTime)
		r.unmeasuredPolling = 0
	}
}

// observeCPU updates the share of a core that the process gets.
func (r *refuser) observeCPU(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cpuTime = r.asTime(r.processCPU())
	r.budget.cpuShare.observe(r.cpuTime, now)
}

// readClocks reads both CPU clocks and updates cpuTime.
func (r *refuser) readClocks() cpuTimes {
	now := cpuTimes{process: r.processCPU(), thread: r.threadCPU()}
	r.cpuTime = r.asTime(now.process)
	return now
}

// refill fills the budget, unless connections were refused recently.
//
// Under a CPU quota an overloaded router is idle for a moment in most of its time slices. If each
// of them refilled the budget, refusals would have no limit.
func (r *refuser) refill(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.lastRefusal) >= refillDelay {
		r.budget.refill()
	}
}

// addIdleCPU records that the CPU was idle for d.
func (r *refuser) addIdleCPU(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.idleCPU += d
}

// asTime converts the CPU time that this process has used, plus its idle time, into a time.
func (r *refuser) asTime(used time.Duration) time.Time { return time.Unix(0, int64(used+r.idleCPU)) }

// meanCost returns the mean CPU time of a refusal.
func (r *refuser) meanCost() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget.cost
}

// cpuShare returns the recent share of a core.
func (r *refuser) cpuShare() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget.cpuShare.value
}

// currentResponse returns the refusal, rebuilt when it is older than refuserPollInterval.
func (r *refuser) currentResponse(now time.Time) []byte {
	if r.response == nil || now.Sub(r.responseAt) >= refuserPollInterval {
		r.response, r.responseAt = r.refusal(now), now
	}
	return r.response
}

func (r *refuser) scratchBuffer() []byte {
	if r.scratch == nil {
		r.scratch = make([]byte, scratchSize)
	}
	return r.scratch
}

// schedulePoll schedules a poll if connections are pending.
func (r *refuser) schedulePoll() {
	if r.pollScheduled || len(r.pending) == 0 {
		return
	}
	r.pollScheduled = true
	time.AfterFunc(refuserPollInterval, r.poll)
}

// poll continues all pending refusals, oldest first.
func (r *refuser) poll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now, began := time.Now(), r.readClocks()
	refusal := r.currentResponse(now)
	rest := make([]refusedConn, 0, len(r.pending))
	allowed := maxRefusalsPerPoll
	for _, conn := range r.pending {
		fresh := conn.answeredAt.IsZero()
		if fresh && allowed == 0 {
			rest = append(rest, conn)
			continue
		}
		if conn.step(refusal, r.scratchBuffer(), r.meter, now) {
			conn.close()
			continue
		}
		if fresh && !conn.answeredAt.IsZero() {
			allowed--
		}
		rest = append(rest, conn)
	}
	r.pending, r.pollScheduled = rest, false
	r.unmeasuredPolling += r.readClocks().since(began)
	r.schedulePoll()
}

// close closes all pending connections. Connections refused from now on are closed immediately.
func (r *refuser) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isClosed = true
	for _, conn := range r.pending {
		conn.close()
	}
	r.pending = nil
}
