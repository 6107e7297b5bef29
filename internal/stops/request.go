package stops

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"github.com/flamingowind/flamingowind/platform/platformtest"
)

// request is what one caller sent, and what became of it.
type request struct {
	platformtest.WireRequest
	router *router
	kind   string
	// kept is whether the connection had carried another request before, pipelined whether the one
	// before had no answer yet.
	kept, pipelined bool
	// body is how long its body takes to send.
	body time.Duration
	// from is when it was begun to send, last when its last byte was sent; zero where it wasn't.
	from, last, to time.Time
	answer         platformtest.WireAnswer
}

// idempotentShare is the share of calls that may run more than once.
const idempotentShare = 0.5

// drawRequest draws a request of any kind.
func drawRequest(id string, r *router, random *rand.Rand) *request {
	q := &request{router: r, WireRequest: platformtest.WireRequest{ID: id, Key: key, Deadline: callerWait, Body: random.IntN(400)}}
	path := platformtest.PathOnce
	if random.Float64() < idempotentShare {
		path = platformtest.PathCall
	}
	switch n := random.IntN(20); {
	case n < 10:
		q.kind, q.Path = "call", fmt.Sprintf("%s?ms=%d", path, random.IntN(300))
	case n < 12:
		q.kind, q.Path = "long call", fmt.Sprintf("%s?ms=%d", path, 300+random.IntN(2700))
	case n < 13:
		q.kind, q.Path, q.Body = "early answer", path+"?early", 100_000+random.IntN(400_000)
	case n < 14:
		q.kind, q.Path = "closed after", path+"?close"
	case n < 17:
		q.stream(random)
	default:
		q.kind, q.Path = "slow body", fmt.Sprintf("%s?ms=%d", path, random.IntN(500))
		q.Body, q.body = 500+random.IntN(60_000), time.Duration(200+random.IntN(6000))*time.Millisecond
	}
	return q
}

// stream makes q a stream of up to six seconds, which may take half or twice as long as its length
// lets expect.
func (q *request) stream(random *rand.Rand) {
	q.kind, q.Path = "stream", platformtest.PathStreamOnce
	if random.IntN(2) == 0 {
		q.Path = platformtest.PathStream
	}
	ms := 200 + random.IntN(5800)
	q.Tokens = max(2, int(float64(ms)/20*(0.5+1.5*random.Float64())))
	q.Path += fmt.Sprintf("?ms=%d&events=%d", ms, 2+random.IntN(20))
}

// pieces is in how many pieces a slow body is sent.
const pieces = 12

// send writes q and notes when its last byte was written.
func (q *request) send(c net.Conn) {
	q.from = time.Now()
	if _, err := io.WriteString(c, q.Head()); err != nil {
		return
	}
	body := strings.Repeat("b", q.Body)
	if q.body > 0 {
		for range pieces - 1 {
			n := len(body) / pieces
			if _, err := io.WriteString(c, body[:n]); err != nil {
				return
			}
			body = body[n:]
			time.Sleep(q.body / pieces)
		}
	}
	if _, err := io.WriteString(c, body); err != nil {
		return
	}
	q.last = time.Now()
}

// receive reads the answer.
func (q *request) receive(r *bufio.Reader) {
	q.answer = platformtest.ReadWire(r)
	q.to = time.Now()
}
