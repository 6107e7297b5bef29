package gateway

import (
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/forward"
	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// relayStream passes events on as they come.
func (g *Gateway) relayStream(r *request, st *step, in *upstream.Instance, a *forward.Answer, p *placed) result {
	events := r.events()
	buf := buffers.Get().(*[]byte)
	defer buffers.Put(buf)
	g.relaying.Add(1)
	defer g.relaying.Add(-1)
	for rested := time.Duration(0); ; {
		ready, count, err := nextEvents(a, events, *buf)
		if len(ready) > 0 {
			g.passEvents(r, st, a, p, ready, count, rested)
		}
		if err == nil {
			rested = g.restAfter(p)
			continue
		}
		st.RestBytes = events.Rest()
		if errors.Is(err, io.EOF) && r.lacksBegin(a) {
			err = forward.ErrNoEvent
		}
		if errors.Is(err, io.EOF) {
			return g.streamEnded(r, st, in, a)
		}
		return g.streamBroken(r, st, in, err)
	}
}

// lacksBegin reports whether a stream that ended shows nothing of having run: no event came, and
// nothing but the connection's close says that none was due. A caller that resumes may have had all.
func (r *request) lacksBegin(a *forward.Answer) bool {
	return !r.begun && !r.ask.Resumes && a.Framing == forward.FramedByClose
}

// nextEvents reads what has come, and gives the whole events of it. io.EOF means that the stream is
// complete: its upstream ended it, and not inside an event.
func nextEvents(a *forward.Answer, events *forward.Events, buf []byte) (ready []byte, count int, err error) {
	n, err := a.Read(buf)
	ready, count, ok := events.Push(buf[:n])
	if !ok {
		return ready, count, errors.New("an event has no end")
	}
	if !errors.Is(err, io.EOF) {
		return ready, count, err
	}
	rest, inside := events.End()
	if inside != nil {
		a.Distrust()
		return ready, count, inside
	}
	return append(ready, rest...), count, err
}

// passEvents gives the caller what is ready.
func (g *Gateway) passEvents(r *request, st *step, a *forward.Answer, p *placed, ready []byte, count int, rested time.Duration) {
	now := time.Now()
	if p.newest.IsZero() {
		g.begun(r, p, now)
		st.FirstMs = now.Sub(st.started).Milliseconds()
		g.beginStream(r, a)
	} else {
		g.paused(r, st, p, now, rested)
	}
	p.newest = now
	st.Events += count
	_, err := r.w.Write(ready)
	if err == nil {
		err = http.NewResponseController(r.w).Flush()
	}
	if err != nil {
		st.Outcome = outcomeCallerOff
		g.cut(r)
	}
}

// events gives the cutter of the caller's stream, one for all attempts.
func (r *request) events() *forward.Events {
	if r.cutter == nil {
		r.cutter = new(forward.Events)
		if r.ask.Resumes {
			r.cutter = forward.Resumed(r.ask.After)
		}
	}
	return r.cutter
}

// beginStream sends the head, that of the first attempt with an event.
func (g *Gateway) beginStream(r *request, a *forward.Answer) {
	if r.begun {
		return
	}
	r.begun = true
	r.trail.status = a.Status
	copyHeader(r.w.Header(), a.Header, false)
	r.w.WriteHeader(a.Status)
}

func (g *Gateway) streamEnded(r *request, st *step, in *upstream.Instance, a *forward.Answer) result {
	if !r.begun {
		g.beginStream(r, a)
	}
	st.Outcome, r.trail.outcome = outcomeServed, outcomeServed
	g.clear(r)
	g.observe(in, upstream.Served, nil)
	return result{done: true}
}

// streamBroken decides what follows a stream that broke off: another attempt goes on
// after the last event where the route allows it, else the caller's answer is cut.
func (g *Gateway) streamBroken(r *request, st *step, in *upstream.Instance, err error) result {
	st.Outcome, st.Error = outcomeBroken, err.Error()
	r.events().Break()
	if r.over() || r.callerGone() {
		if r.begun {
			st.Outcome = outcomeTimeout
			g.cut(r)
		}
		g.timedOut(r)
		return result{done: true}
	}
	g.suspect(r)
	g.observe(in, g.blame(err), err)
	if !r.route.Resumable {
		if r.begun {
			g.cut(r)
		}
		return result{}
	}
	return result{resumable: true}
}
