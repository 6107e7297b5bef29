package soak

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/flamingowind/flamingowind/internal/waiting"
	"github.com/flamingowind/flamingowind/platform/platformtest"
)

// ofNotices are faults in which upstreams say something of themselves in their answers: that they leave, before
// the list says so, or that they want no requests for a time.
var ofNotices = map[string]action{"upstream_announces": announce, "upstream_backs_off": backOff, "upstreams_back_off": backOffAll}

// noticesEvery is the number of other faults for each of ofNotices.
const noticesEvery = 5

// planNotices gives those faults of a seed, beside all others.
func planNotices(o Options) []fault { return planApart(o, ofNotices, 8, noticesEvery) }

const (
	// backoff is for how long upstreams want no requests.
	backoff = 2 * time.Second
	// backoffFrom is the time after an answer that asks for it from which on it holds, backoffAllows how many
	// requests of a router may arrive nevertheless.
	backoffFrom   = 500 * time.Millisecond
	backoffAllows = 2
)

// announce replaces an upstream whose answers say that it leaves; the list says so late.
func announce(ctx context.Context, w *world, f fault) {
	old, err := w.replace(f.index, "")
	if err != nil {
		return // no ports are left; the run goes on with the old one
	}
	b := sound
	b.Leaving = true
	old.engine.Behave(b)
	w.history.named(old.engine.ID)
	waiting.For(ctx, drainTime+f.lasts)
	w.store.List(old.engine, old.service, old.relay.Addr(), true)
	w.history.leaving(old.engine.ID)
	waiting.For(ctx, drainTime)
	w.store.Unlist(old.engine)
	time.AfterFunc(drainTime, old.close)
}

// backOff makes an upstream turn all requests away for a time.
func backOff(ctx context.Context, w *world, f fault) { w.backOff(ctx, f, w.upstream(f.index)) }

// backOffAll makes all upstreams of the main service do so.
func backOffAll(ctx context.Context, w *world, f fault) {
	var all []*upstream
	for i := range w.options.Upstreams {
		all = append(all, w.upstream(i))
	}
	w.backOff(ctx, f, all...)
}

func (w *world) backOff(ctx context.Context, f fault, list ...*upstream) {
	for _, u := range list {
		defer w.journal.begin(partUpstream, u.index)()
		u.engine.Behave(platformtest.Behaviour{Backoff: backoff})
	}
	waiting.For(ctx, f.lasts)
	for _, u := range list {
		u.engine.Behave(sound)
	}
	waiting.For(ctx, backoff)
}

// checkNotices: what an upstream says of itself in an answer is heeded by the router that read it, whatever that
// router can reach.
func (c *checker) checkNotices(list []*attempt) {
	byID := make(map[string]*attempt, len(list))
	for _, a := range list {
		byID[a.ID] = a
	}
	for _, u := range c.world.everyLife() {
		received := make(map[*router][]platformtest.Arrival)
		for _, arrival := range u.engine.Received() {
			if a := byID[arrival.ID]; a != nil {
				received[a.router] = append(received[a.router], arrival)
			}
		}
		for r, arrivals := range received {
			c.checkBackoff(u, r, arrivals, byID)
			c.checkAnnounced(u, r, arrivals, byID)
		}
	}
}

// checkBackoff looks for an answer that asked for no requests, and what callers sent and arrived nevertheless.
func (c *checker) checkBackoff(u *upstream, r *router, arrivals []platformtest.Arrival, byID map[string]*attempt) {
	for _, asked := range arrivals {
		from, to := asked.At.Add(backoffFrom), asked.At.Add(asked.Backoff)
		count := 0
		for _, a := range arrivals {
			if byID[a.ID].from.After(from) && a.At.Before(to) {
				count++
			}
		}
		// A router that the answer can't reach sends on, and so does the next life of one that was killed.
		sent := byID[asked.ID].from
		reached := c.world.journal.sound(sent, to, r.index, partProcess) && c.world.journal.sound(sent, to, u.index, partUplink)
		if count > backoffAllows && reached {
			c.findNotice("upstreams that want no requests get none", r, asked.At, "%s got %d requests in the %v", u.engine.ID, count, asked.Backoff)
			return
		}
	}
}

// checkAnnounced looks for a whole answer that said that the upstream leaves, and requests that were sent after it.
func (c *checker) checkAnnounced(u *upstream, r *router, arrivals []platformtest.Arrival, byID map[string]*attempt) {
	var told time.Time
	for _, arrival := range arrivals {
		a := byID[arrival.ID]
		if a.answer.Whole && a.answer.Leaving == u.engine.ID && (told.IsZero() || a.to.Before(told)) {
			told = a.to
		}
	}
	if told.IsZero() {
		return
	}
	for _, arrival := range arrivals {
		a := byID[arrival.ID]
		sent := told
		if c.goesOn(arrival.ID, u) {
			sent = told.Add(drainTime + late)
		}
		if a.from.After(sent) && c.world.journal.sound(told, arrival.At, r.index, partProcess) {
			c.findNotice("upstreams that say they leave get nothing new", r, a.from, "%s got %s, sent %v after it was told", u.engine.ID, a.ID, a.from.Sub(told))
			return
		}
	}
}

// goesOn reports whether a request came to an upstream as the rest of a stream, which one that leaves may still be
// sent: its caller resumed it, or the router after another upstream broke off.
func (c *checker) goesOn(id string, u *upstream) bool {
	return slices.ContainsFunc(c.runs[id], func(run ran) bool { return run.upstream == u && run.After > 0 })
}

func (c *checker) findNotice(promise string, r *router, at time.Time, format string, args ...any) {
	c.findings = append(c.findings, Finding{Promise: promise, Router: r.settings.Router.Name, At: at.Sub(c.began), What: fmt.Sprintf(format, args...)})
}
