package replay

import (
	"time"

	"github.com/flamingowind/flamingowind/pkg/placement"
	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// Model is what all engines of a service have in common.
type Model struct {
	// Slots is how many requests an engine runs at once.
	Slots int
	// Step is the time for a token of all its streams, Token that for reading one of a prompt,
	// and Compared what each token takes besides for each thousand before it.
	Step, Token, Compared time.Duration
	// Piece is how many tokens are read in a step, of one prompt or, if Packed, of as many as fit.
	Piece  int
	Packed bool
	// Event is how many tokens an event of a stream holds.
	Event int
	// Keeps is how many tokens of prompts an engine keeps.
	Keeps int
	// Copied is the time for copying a token from another engine.
	Copied time.Duration
}

// job is a request at an engine.
type job struct {
	request *Request
	placed  placed
	// sent is when it is sent to the engine.
	sent time.Duration
	// unread are the prompt's tokens that are still to be read, at is when it may begin.
	unread int
	at     time.Duration
	// left are the tokens that are still to be generated, pending those of the next event.
	left, pending int
	// first is when the first event left, event when the newest one did.
	first, event time.Duration
	// longest is the longest pause, which ended at ended.
	longest, ended time.Duration
}

// engine is one engine of the model.
type engine struct {
	instance *upstream.Instance
	model    *Model
	// slow is how many times longer than usual everything takes.
	slow  float64
	queue []*job
	runs  []*job
	kept  keeps
	// until is when the present step ends.
	until time.Duration
	// starts is when the engine starts, leaves when it gets nothing new any more; 0 for never.
	starts, leaves time.Duration
	// sent are the times of the requests that it was sent.
	sent []time.Time
}

// newEngine returns engine i of a service.
func newEngine(m *Model, i int, slow float64) *engine {
	in := &upstream.Instance{ID: upstream.ID(rune('a' + i)), Service: "llm", Slots: m.Slots, State: upstream.Ready}
	return &engine{instance: in, model: m, slow: slow, kept: keeps{most: m.Keeps}}
}

func (e *engine) stretch(d time.Duration) time.Duration { return time.Duration(float64(d) * e.slow) }

// reading is the job whose prompt is read next, nil for none.
func (e *engine) reading(now time.Duration) *job {
	if len(e.queue) == 0 || len(e.runs) >= e.model.Slots || e.queue[0].at > now {
		return nil
	}
	return e.queue[0]
}

// step does one step and gives the jobs whose first event or end came with it.
func (e *engine) step(now time.Duration, began, ended func(*job, time.Duration)) {
	took := e.model.Step
	var whole []*job
	for left := e.model.Piece; left > 0; {
		read := e.reading(now)
		if read == nil || len(e.runs)+len(whole) >= e.model.Slots {
			break
		}
		piece := min(left, read.unread)
		before := read.request.Prompt.Input - read.unread
		took += time.Duration(piece) * (e.model.Token + e.model.Compared*time.Duration(before)/1000)
		read.unread -= piece
		left -= piece
		if read.unread > 0 {
			break
		}
		e.queue = e.queue[1:]
		whole = append(whole, read)
		if !e.model.Packed {
			break
		}
	}
	e.until = now + e.stretch(took)
	e.generate(ended)
	for _, read := range whole {
		e.kept.add(read.request.chain)
		read.first, read.event = e.until, e.until
		e.runs = append(e.runs, read)
		began(read, e.until)
	}
}

// generate gives each stream a token.
func (e *engine) generate(ended func(*job, time.Duration)) {
	rest := e.runs[:0]
	for _, j := range e.runs {
		j.left--
		j.pending++
		if j.pending >= e.model.Event || j.left <= 0 {
			if pause := e.until - j.event; pause > j.longest {
				j.longest, j.ended = pause, e.until
			}
			j.event, j.pending = e.until, 0
		}
		if j.left <= 0 {
			ended(j, e.until)
			continue
		}
		rest = append(rest, j)
	}
	e.runs = rest
}

func (e *engine) idle(now time.Duration) bool { return len(e.runs) == 0 && e.reading(now) == nil }

// keeps are beginnings of prompts that an engine keeps, the least recently used first.
type keeps struct {
	most, held int
	order      []placement.Prefix
}

// tokens is how much of a prompt is kept; it counts as a use.
func (k *keeps) tokens(chain []placement.Prefix) int {
	kept := 0
	for _, link := range chain {
		if !k.use(link) {
			break
		}
		kept = link.Tokens
	}
	return kept
}

func (k *keeps) use(link placement.Prefix) bool {
	for i, one := range k.order {
		if one.Key == link.Key {
			k.order = append(append(k.order[:i:i], k.order[i+1:]...), one)
			return true
		}
	}
	return false
}

func (k *keeps) add(chain []placement.Prefix) {
	before := 0
	for _, link := range chain {
		part := placement.Prefix{Key: link.Key, Tokens: link.Tokens - before}
		before = link.Tokens
		if k.use(part) {
			continue
		}
		k.order = append(k.order, part)
		k.held += part.Tokens
	}
	for k.held > k.most && len(k.order) > 0 {
		k.held -= k.order[0].Tokens
		k.order = k.order[1:]
	}
}
