package admission

import (
	"container/list"
	"sync"
	"time"
)

const (
	// firstTurn is the time that a connection is taken to need of the process before any was
	// seen: that of a request on a host with a fifth of a core.
	firstTurn = time.Millisecond
	// youngQueue is the time for which a queue may be long without being slow: a burst that
	// comes to a host with processor to spare is read within it.
	youngQueue = 20 * time.Millisecond
	// turnWeight is the part of a new measurement in the mean.
	turnWeight = 1.0 / 16
	// longestTurn bounds one measurement, in turns: a process that stood still for a while,
	// as a quota makes it, isn't slow afterwards.
	longestTurn = 10
	// turnsToJudge is how many turns must have been measured before their mean says how long
	// those that wait will: as many as it takes to follow what is measured.
	turnsToJudge = int(1 / turnWeight)
	// leastTurn is a turn's time at least, as measured on a host with all its processor.
	leastTurn = 20 * time.Microsecond
)

// queue gives accepted connections their turns to be read, the oldest first.
//
// Guard: left to the scheduler, a thousand connections that are accepted at once are a
// thousand goroutines that run in no order, and the work that was begun for others waits
// among them. With a few turns at a time that work goes on, and each connection's wait is
// known.
type queue struct {
	// turns is how many connections may have their turn at once.
	turns int

	mu      sync.Mutex
	waiting list.List // of *ticket, the oldest first
	held    int
	// turn is the mean time between two calls while others wait, last the newest call or the
	// moment at which the first of those that wait came.
	turn time.Duration
	last time.Time
	// measured is how many turns the mean holds, beyond the guess that it began from.
	measured int
}

func newQueue(turns int) *queue { return &queue{turns: turns, turn: firstTurn} }

// admit notes that a connection was accepted.
func (q *queue) admit(now time.Time) *ticket {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.waiting.Len() == 0 {
		q.last = now
	}
	t := &ticket{since: now, called: make(chan struct{})}
	t.place = q.waiting.PushBack(t)
	return t
}

// enter asks for t's turn, which has come once t.called is closed.
func (q *queue) enter(t *ticket, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if t.place != nil && !t.entered {
		t.entered = true
		q.call(now)
	}
}

// call gives turns to the oldest that have entered, as long as there are any.
func (q *queue) call(now time.Time) {
	for e := q.waiting.Front(); e != nil && q.held < q.turns; {
		t, next := e.Value.(*ticket), e.Next()
		if t.entered {
			q.measure(t, now)
			q.waiting.Remove(e)
			t.place = nil
			t.holds = true
			q.held++
			close(t.called)
		}
		e = next
	}
}

// measure takes the time since the last call into the mean. Those that are turned away as
// they get their turn cost next to nothing and say nothing of the others.
func (q *queue) measure(t *ticket, now time.Time) {
	if now.Sub(t.since) <= tooLate {
		took := min(now.Sub(q.last), longestTurn*q.turn)
		q.turn = max(leastTurn, q.turn+time.Duration(turnWeight*float64(took-q.turn)))
		q.measured++
	}
	q.last = now
}

// leave ends t's turn, or its wait when it was not called.
func (q *queue) leave(t *ticket, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if t.place != nil {
		q.waiting.Remove(t.place)
		t.place = nil
		close(t.called) // whoever waits for the turn of a connection that is closed goes on
		return
	}
	if t.holds {
		t.holds = false
		q.held--
		q.call(now)
	}
}

// wait is how long a connection that is accepted now will wait: at least as long as the
// oldest has waited, and a turn for each that waits unless all have just come.
//
// Guard: a process that stood still before it read anybody knows no turn's time, and a burst
// looks like a long wait by the guess alone: most of it was turned away at a host that reads it
// all in a moment. Until turns were measured, only the time that has passed counts.
func (q *queue) wait(now time.Time) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	oldest := q.waiting.Front()
	if oldest == nil {
		return 0
	}
	waited := now.Sub(oldest.Value.(*ticket).since)
	if waited < youngQueue || q.measured < turnsToJudge {
		return waited
	}
	return max(waited, time.Duration(q.waiting.Len())*q.turn)
}

// caughtUp reports whether nobody waits, and forgets how long turns took if so.
func (q *queue) caughtUp() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.waiting.Len() > 0 || q.held > 0 {
		return false
	}
	if q.turn > firstTurn {
		q.turn, q.measured = firstTurn, 0
	}
	return true
}
