package load

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
)

// maxTokens is the bound that callers name: they don't know how long an answer gets.
const maxTokens = 4096

// completion is the body of a completion request. The system passes on the fields
// that only the stand-in engine reads.
type completion struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream,omitempty"`
	Tokens    int    `json:"standin_tokens"`
	Marker    string `json:"standin_marker"`
}

// save is the body of a call to the plain service, which echoes it.
type save struct {
	Marker string `json:"standin_marker"`
	Text   string `json:"text"`
}

func serviceBody(q *Request) save { return save{Marker: q.Marker, Text: string(q.Form)} }

func (c *Caller) build(ctx context.Context, q *Request) (*http.Request, error) {
	method, path, body := c.shape(q)
	data, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Annotate(err, "encode request")
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+q.Entry+path, bytes.NewReader(data))
	if err != nil {
		return nil, errors.Trace(err)
	}
	// Guard against a replay behind the caller's back: net/http sends a request with
	// an Idempotency-Key again when its connection breaks, which would be counted as
	// one request that ran twice. Without GetBody it can't.
	req.GetBody = nil
	c.setHeaders(req, q)
	return req, nil
}

func (q *Request) isService() bool { return q.Form == ServiceCall || q.Form == ServiceSave }

// shape gives the method, the path and the body. A call that may be repeated is a
// PUT, since the seeded route takes POST as at most once.
func (c *Caller) shape(q *Request) (method, path string, body any) {
	switch q.Form {
	case ServiceCall:
		return http.MethodPut, "/services/" + c.Service + "/check-in", serviceBody(q)
	case ServiceSave:
		return http.MethodPost, "/services/" + c.Service + "/progress", serviceBody(q)
	default:
		return http.MethodPost, "/v1/completions", completion{
			Model: c.Model, Prompt: "Mark the reading journal " + q.Marker, MaxTokens: maxTokens,
			Stream: q.Form == Streamed, Tokens: q.Tokens, Marker: q.Marker,
		}
	}
}

func (c *Caller) setHeaders(req *http.Request, q *Request) {
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+q.Org.Key)
	if q.Class != "" {
		req.Header.Set("Flamingowind-Class", string(q.Class))
	}
	if q.Deadline > 0 {
		req.Header.Set("Flamingowind-Deadline", q.Deadline.String())
	}
	if q.isService() {
		req.Header.Set("Flamingowind-Marker", q.Marker)
	}
	if q.Form == ServiceSave {
		req.Header.Set("Idempotency-Key", q.Marker)
	}
}

// contentKey is the runKey of a service call whose marker got lost on its way: the
// body holds the marker, so its hash is the request's own.
func (q *Request) contentKey() string {
	if !q.isService() {
		return ""
	}
	data, err := json.Marshal(serviceBody(q))
	if err != nil {
		return ""
	}
	return contentKey(strconv.FormatUint(xxhash.Sum64(data), 16))
}
