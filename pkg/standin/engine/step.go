package engine

import (
	"context"
	"strings"
	"time"

	"github.com/flamingowind/flamingowind/pkg/standin/journal"
)

// batchGrowth is how much each further request in the batch lengthens a step, as a
// share of the step time.
const batchGrowth = 0.005

// Run steps the batch until ctx ends.
func (e *Engine) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	next := time.Now()
	for {
		if e.idle() {
			select {
			case <-e.wakeup:
			case <-ctx.Done():
				return
			}
			next = time.Now()
		}
		// A late step is followed by a shorter wait, so that steps keep their pace on
		// average; a pause of the process isn't caught up.
		next = later(next.Add(e.admit()), time.Now())
		timer.Reset(time.Until(next))
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		e.advance()
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (e *Engine) idle() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running)+len(e.waiting) == 0
}

// admit fills free slots in order of arrival and returns the time of the next step.
func (e *Engine) admit() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.waiting) > 0 && len(e.running) < e.slots() {
		e.start(e.waiting[0])
		e.waiting[0] = nil
		e.waiting = e.waiting[1:]
	}
	return e.stepTime()
}

func (e *Engine) slots() int {
	if e.faults.Slots > 0 {
		return e.faults.Slots
	}
	return e.options.Slots
}

func (e *Engine) stepTime() time.Duration {
	step := float64(e.options.Step)
	if e.faults.StepMs > 0 {
		step = e.faults.StepMs * float64(time.Millisecond)
	}
	return time.Duration(step * (1 + batchGrowth*float64(max(len(e.running)-1, 0))))
}

func (e *Engine) start(a *attempt) {
	a.phase.Store(int32(running))
	a.prefill = e.cache.prefillSteps(a.blocks)
	a.entry = e.journal.Start(journal.Attempt{
		Attempt: a.id, Org: a.org, Content: a.content, Marker: a.marker, Key: a.key, Started: time.Now(),
	})
	e.running = append(e.running, a)
}

// advance gives each running request one step: a part of its prompt, or a token.
func (e *Engine) advance() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.runsCrasher() {
		e.crash()
		return
	}
	kept := e.running[:0]
	for _, a := range e.running {
		if !e.advanceOne(a) {
			kept = append(kept, a)
		}
	}
	clear(e.running[len(kept):])
	e.running = kept
	e.sampleLoad()
}

// advanceOne reports whether a is finished.
func (e *Engine) advanceOne(a *attempt) bool {
	if a.prefill > 0 {
		a.prefill--
		return false
	}
	tokens := int(a.tokens.Add(1))
	e.tokens++
	if tokens == 1 {
		e.cache.store(a.blocks)
	}
	if tokens < a.total {
		a.wake()
		return false
	}
	e.journal.End(a.entry, journal.Finished, tokens, time.Now())
	e.end(a, finished)
	return true
}

func (e *Engine) sampleLoad() {
	e.load.sample(Load{
		Slots:        e.slots(),
		Running:      len(e.running),
		Waiting:      len(e.waiting),
		CachedBlocks: e.cache.blocks.Len(),
		Tokens:       e.tokens,
	}, time.Now(), e.faults.loadLag())
}

func (e *Engine) runsCrasher() bool {
	if e.faults.CrashOn == "" {
		return false
	}
	for _, a := range e.running {
		if strings.Contains(a.prompt, e.faults.CrashOn) {
			return true
		}
	}
	return false
}

// crash loses all that a process loses when it dies. The journal stays, as it
// belongs to the observer and not to the engine.
func (e *Engine) crash() {
	now := time.Now()
	e.journal.Crash(now)
	for _, a := range e.running {
		e.journal.End(a.entry, journal.Crashed, int(a.tokens.Load()), now)
	}
	for _, a := range append(e.running, e.waiting...) {
		a.phase.Store(int32(crashed))
		a.wake()
	}
	e.running, e.waiting, e.kept = nil, nil, nil
	clear(e.attempts)
	e.cache.clear()
	e.orders.crash()
	e.load = loadReport{}
	e.downUntil = now.Add(e.faults.revive())
	if e.options.OnCrash != nil {
		e.options.OnCrash(e.faults.revive())
	}
}
