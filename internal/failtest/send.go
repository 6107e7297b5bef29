package failtest

import (
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/flamingowind/flamingowind/pkg/load"
)

// markers makes each request of the process unique.
var markers atomic.Int64

// Request makes a request of organisation org to router, both counted from 0.
func (w *World) Request(form load.Form, org, router, tokens int) load.Request {
	return load.Request{
		Marker: fmt.Sprintf("m%06d", markers.Add(1)),
		Org:    w.Ready.Organisations[org%len(w.Ready.Organisations)],
		Form:   form,
		Entry:  w.Entry(router),
		Tokens: tokens,
	}
}

// Requests makes n requests, spread over organisations and routers in turn.
func (w *World) Requests(n int, form load.Form, tokens int) []load.Request {
	list := make([]load.Request, n)
	for i := range list {
		list[i] = w.Request(form, i, i/len(w.Ready.Organisations), tokens)
	}
	return list
}

// Entry is the callers' address of router i, "ip:port"; i wraps around.
func (w *World) Entry(i int) string { return w.Routers[i%len(w.Routers)].Info.Entry }

// At returns q as sent to router.
func (w *World) At(q load.Request, router int) load.Request {
	q.Entry = w.Entry(router)
	return q
}

// Send sends q and returns what its caller got.
func (w *World) Send(q load.Request) load.Result { return w.Caller.Do(w.ctx, q) }

// Pending are requests under way.
type Pending struct {
	group   sync.WaitGroup
	results []load.Result
}

// SendAll sends all requests at once, each on its own connection.
func (w *World) SendAll(requests ...load.Request) *Pending {
	p := &Pending{results: make([]load.Result, len(requests))}
	for i, q := range requests {
		p.group.Go(func() { p.results[i] = w.Send(q) })
	}
	return p
}

// Wait returns the results, in the requests' order.
func (p *Pending) Wait() []load.Result {
	p.group.Wait()
	return p.results
}
