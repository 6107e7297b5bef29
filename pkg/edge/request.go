package edge

import (
	"net/http"
	"time"

	"github.com/flamingowind/flamingowind/pkg/dispatch"
	"github.com/flamingowind/flamingowind/pkg/sched"
	"github.com/flamingowind/flamingowind/pkg/verdict"
)

// request is one call on its way from its caller to an upstream and back.
type request struct {
	caller
	options
	edge    *Edge
	w       http.ResponseWriter
	r       *http.Request
	place   *place
	free    func() // frees the body's memory
	body    []byte
	model   string // name of the model or service
	route   Route
	prefix  uint64
	content uint64
	call    dispatch.Call
	result  dispatch.Result
}

func newRequest(e *Edge, w http.ResponseWriter, r *http.Request, c caller) *request {
	return &request{edge: e, w: w, r: r, caller: c}
}

// receive takes a place in the queue, then reads headers and body.
func (q *request) receive() (err *verdict.Error) {
	if q.place, err = q.edge.queue.enter(q.org, q.received); err != nil {
		return err
	}
	if q.options, err = readOptions(q.r.Header, *q.edge.limits.Load()); err != nil {
		return err
	}
	q.body, q.free, err = q.edge.readBody(q.w, q.r, q.org.Name)
	return err
}

// end gives back what the request still holds.
func (q *request) end() {
	if q.place != nil {
		q.place.leave(time.Now())
	}
	q.dropBody()
	q.log()
	q.result.Release()
}

// dropBody frees the body's memory. It is called when a stream begins too: the body has
// been sent then and can't be needed again, and the stream may last for minutes.
func (q *request) dropBody() {
	if q.free != nil {
		q.free()
	}
	q.free, q.body, q.call.Body = nil, nil, nil
}

func (q *request) refuse(err *verdict.Error) {
	q.result.Err, q.result.Verdict = err, err.Verdict
	q.edge.Observer.Refused(q.org.Name, q.class, err.Code)
	q.edge.refuse(q.w, err, q.org.Name, q.model)
}

func (q *request) gap(d time.Duration) {
	q.edge.Observer.BetweenTokens(q.org.Name, q.class, d)
}

func (q *request) claim() sched.Request {
	return sched.Request{
		Org:         q.org.Name,
		Class:       q.class,
		Pool:        q.route.Pool,
		AcceptedAt:  q.received,
		PrefixHash:  q.prefix,
		ContentHash: q.content,
		Deadline:    q.received.Add(q.deadline),
	}
}
