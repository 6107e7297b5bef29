package gateway

import (
	"io"
	"sync"

	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/forward"
)

// bodyStep is what the size of memory for bodies is rounded up to, in bytes, so that bodies
// of about the same size fit where another one was.
const bodyStep = 4 << 10

// bodies holds memory of bodies for reuse.
//
// A body of 8 KB is most of what a refused request allocates. On a host with little memory and
// many connections the collector runs nearly all the time; memory that is used again saves it
// a third of such a request (BenchmarkRequest/refused/cramped).
var bodies = sync.Pool{New: func() any { return new([]byte) }}

// readDeclared reads a body of a length that its caller has told.
//
// Guard: memory that is used again must not be read by anybody else any more, or one caller's
// body would go out with another's request. Only bodies that forward doesn't hold on to are
// put there, and they are given back when their request has ended.
func (r *request) readDeclared(length int64) ([]byte, error) {
	if length > forward.JoinedBody {
		return readFull(r.in.Body, make([]byte, length))
	}
	r.memory = bodies.Get().(*[]byte)
	if int64(cap(*r.memory)) < length {
		*r.memory = make([]byte, (length+bodyStep-1)/bodyStep*bodyStep)
	}
	return readFull(r.in.Body, (*r.memory)[:length])
}

func readFull(from io.Reader, into []byte) ([]byte, error) {
	_, err := io.ReadFull(from, into)
	return into, errors.Trace(err)
}

// giveBack ends the use of the body.
func (r *request) giveBack() {
	if r.memory == nil {
		return
	}
	bodies.Put(r.memory)
	r.memory, r.body = nil, nil
}
