package load

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/verdict"
)

// Bounds of a caller.
const (
	maxAnswer   = 16 << 20
	maxIdle     = 512
	dialTimeout = 3 * time.Second
)

// Caller sends requests and checks the answers. It may be used by many goroutines.
type Caller struct {
	// Model and Service are the names asked for.
	Model, Service string
	// Patience is how long a request may take in all.
	Patience time.Duration
	// OnToken is called for each token that comes, if it is set.
	OnToken func(r *Request, n int)

	client *http.Client
}

// NewCaller returns a caller for a model and a service name.
func NewCaller(model, service string, patience time.Duration) *Caller {
	dialer := net.Dialer{Timeout: dialTimeout}
	return &Caller{
		Model: model, Service: service, Patience: patience,
		client: &http.Client{Transport: &http.Transport{
			DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdle, DisableCompression: true,
		}},
	}
}

// Close drops idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// Do sends q and reads its answer to the end. It never retries.
func (c *Caller) Do(ctx context.Context, q Request) Result {
	ctx, cancel := context.WithTimeout(ctx, c.Patience)
	defer cancel()
	res := Result{Request: q, Sent: time.Now()}
	if res.Intended.IsZero() {
		res.Intended = res.Sent
	}
	c.exchange(ctx, &res)
	res.Ended = time.Now()
	return res
}

func (c *Caller) exchange(ctx context.Context, res *Result) {
	req, err := c.build(ctx, &res.Request)
	if err != nil {
		res.end(Unsent, err)
		return
	}
	resp, err := c.client.Do(req)
	if err != nil {
		res.end(outcomeWithoutAnswer(err), err)
		return
	}
	defer resp.Body.Close()
	res.Status = resp.StatusCode
	switch {
	case resp.StatusCode != http.StatusOK:
		res.readRefusal(resp)
	case res.Form == Streamed:
		c.readStream(res, resp.Body)
	case res.Form == Plain:
		c.readPlain(res, resp.Body)
	default:
		c.readService(res, resp.Body)
	}
}

// outcomeWithoutAnswer tells a refused connection from a lost answer.
func outcomeWithoutAnswer(err error) Outcome {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return Unsent
	}
	return Lost
}

func (r *Result) end(o Outcome, err error) {
	r.Outcome = o
	if err != nil {
		r.Fault = err.Error()
	}
}

// refusal is the body of an error answer.
type refusal struct {
	Error struct {
		Message string `json:"message"`
		Code    string `json:"code"`
		Verdict string `json:"verdict"`
	} `json:"error"`
}

func (r *Result) readRefusal(resp *http.Response) {
	var body refusal
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		r.end(Broken, err)
		return
	}
	if err := json.Unmarshal(data, &body); err != nil || body.Error.Verdict == "" {
		r.end(Cut, errors.Errorf("status %d without a verdict in its body: %.200s", resp.StatusCode, data))
		return
	}
	r.Verdict, r.Code = verdict.Parse(body.Error.Verdict), body.Error.Code
	if header := resp.Header.Get(verdict.Header); header != body.Error.Verdict {
		r.end(Cut, errors.Errorf("verdict %q in the header, %q in the body", header, body.Error.Verdict))
		return
	}
	r.end(Refused, errors.Errorf("%d %s (%s): %s", r.Status, r.Code, r.Verdict, body.Error.Message))
}

func (c *Caller) readService(r *Result, body io.Reader) {
	data, err := io.ReadAll(io.LimitReader(body, maxAnswer))
	switch {
	case err != nil:
		r.end(Broken, err)
	case !r.isEcho(data):
		r.end(Cut, errors.Errorf("the answer isn't the whole one to this call: %.200s", data))
	default:
		r.First = time.Now()
		r.end(Whole, nil)
	}
}

// isEcho reports whether data is the call's body, as a service gives it back.
func (q *Request) isEcho(data []byte) bool {
	var got save
	return json.Unmarshal(data, &got) == nil && got == serviceBody(q)
}
