package order

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/juju/errors"
)

const (
	statePath  = "/v1/state"
	ordersPath = "/v1/orders"
	// maxState bounds an engine's answer, in bytes.
	maxState = 64 << 10
	// maxHead bounds the head of an engine's answer, in bytes.
	maxHead = 64 << 10
)

// HTTPEngine is the Engine over HTTP.
//
// Guard: each order has a connection of its own. On a kept one that turns out closed,
// net/http may send a request again by itself, later than the check of the lease.
type HTTPEngine struct {
	states *http.Client
	orders *http.Client
}

// NewHTTPEngine returns an HTTPEngine.
func NewHTTPEngine() *HTTPEngine {
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &HTTPEngine{
		states: &http.Client{CheckRedirect: noRedirect, Transport: &http.Transport{MaxIdleConnsPerHost: 1, MaxResponseHeaderBytes: maxHead}},
		orders: &http.Client{CheckRedirect: noRedirect, Transport: &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: maxHead}},
	}
}

// State implements Engine.
func (e *HTTPEngine) State(ctx context.Context, url string) (State, error) {
	var s State
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url+statePath, nil)
	if err != nil {
		return s, errors.Annotate(err, "ask state")
	}
	resp, err := e.states.Do(req)
	if err != nil {
		return s, errors.Annotate(err, "ask state")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return s, errors.Errorf("ask state: status %d", resp.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxState)).Decode(&s)
	return s, errors.Annotate(err, "read state")
}

// Send implements Engine.
func (e *HTTPEngine) Send(ctx context.Context, url string, c Command, valid func() bool) error {
	data, err := json.Marshal(c)
	if err != nil {
		return errors.Wrap(err, ErrRejected)
	}
	body := &gatedBody{valid: valid, data: bytes.NewReader(data)}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+ordersPath, body)
	if err != nil {
		return errors.Wrap(err, ErrRejected)
	}
	req.ContentLength = int64(len(data))
	req.Header.Set("Content-Type", "application/json")
	resp, err := e.orders.Do(req)
	if body.lapsed.Load() {
		return ErrLapsed
	}
	if err != nil {
		return errors.Annotate(err, "send order")
	}
	defer resp.Body.Close()
	return errorOf(resp.StatusCode)
}

func errorOf(status int) error {
	switch {
	case status == http.StatusOK:
		return nil
	case status == http.StatusPreconditionFailed:
		return ErrOldFence
	case status >= 400 && status < 500:
		return errors.Annotatef(ErrRejected, "status %d", status)
	default:
		return errors.Errorf("send order: status %d", status)
	}
}
