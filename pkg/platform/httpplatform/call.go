package httpplatform

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"

	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/platform"
)

// call is one request to the platform.
type call struct {
	method string
	path   string
	query  url.Values
	body   []byte
	// discard says that the answer's body isn't needed: its status alone counts.
	discard bool
}

// do sends the call once and returns the answer's body.
func (c *Client) do(ctx context.Context, call call) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var connected atomic.Bool
	req, err := c.request(ctx, call, &connected)
	if err != nil {
		return nil, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, errors.Annotatef(noAnswer(err, connected.Load()), "%s %s", call.method, call.path)
	}
	defer resp.Body.Close()
	if err := statusError(resp.StatusCode); err != nil {
		return nil, errors.Annotatef(err, "%s %s", call.method, call.path)
	}
	if call.discard {
		return nil, nil
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		// A service that dies closes the connection as one whose answer is complete.
		return nil, errors.Annotatef(errors.WithType(errNoLength, platform.ErrUnknown), "%s %s", call.method, call.path)
	}
	return readAnswer(resp.Body)
}

// errNoLength says that only the connection's end would tell where an answer ends.
const errNoLength = errors.ConstError("the answer has no declared length")

func (c *Client) request(ctx context.Context, call call, connected *atomic.Bool) (*http.Request, error) {
	u := c.base.JoinPath(call.path)
	u.RawQuery = call.query.Encode()
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), call.method, u.String(), nil)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if call.body == nil {
		return req, nil
	}
	// Failure guarded against: net/http sends a request again by itself, after a kept
	// connection broke or on a redirect (307, 308). It shows as a guard that fails on
	// the caller's own write, or as a write applied twice. Without GetBody neither the
	// transport nor the client can rewind the body, so it leaves at most once. For the
	// same reason no Idempotency-Key header is set: it would allow replays.
	req.Body = io.NopCloser(bytes.NewReader(call.body))
	req.ContentLength = int64(len(call.body))
	req.GetBody = nil
	return req, nil
}

// noAnswer classifies a call that ended without a status. Without a connection no
// byte can have left; with one, even a broken one, the service may have read the call.
func noAnswer(err error, connected bool) error {
	if connected {
		return errors.WithType(err, platform.ErrUnknown)
	}
	return errors.WithType(err, platform.ErrRefused)
}

func statusError(status int) error {
	switch {
	case status >= 200 && status < 300:
		return nil
	case status == http.StatusNotFound:
		return platform.ErrNotFound
	case status == http.StatusConflict:
		return platform.ErrConflict
	case status == http.StatusServiceUnavailable, status == http.StatusTooManyRequests:
		return platform.ErrRefused
	case status >= 400 && status < 500:
		return errors.BadRequestf("status %d", status)
	default:
		return errors.WithType(errors.Errorf("status %d", status), platform.ErrUnknown)
	}
}

func readAnswer(body io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, maxAnswer+1))
	if err != nil {
		return nil, errors.WithType(errors.Annotate(err, "read answer"), platform.ErrUnknown)
	}
	if len(data) > maxAnswer {
		return nil, errors.WithType(errors.Errorf("answer is over %d bytes", maxAnswer), platform.ErrUnknown)
	}
	return data, nil
}
