package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/operator"
)

// Bounds of one call.
const (
	callTimeout = 15 * time.Second
	maxAnswer   = 16 << 20
)

// errUndecided: an answer was lost after the request may have reached a router.
const errUndecided = errors.ConstError("the answer was lost, the write may have been accepted")

// Client calls the resource API of the first router that answers.
type Client struct {
	servers []string
	token   string
	http    *http.Client
}

// NewClient returns a client of servers, "ip:port" or base URLs, in order of trying.
func NewClient(servers []string, tokenFile string) (*Client, error) {
	if len(servers) == 0 {
		return nil, errors.Annotate(errUsage, "no router's address: set -server or FLAMINGOWIND_SERVER")
	}
	token, err := os.ReadFile(tokenFile)
	if err != nil {
		return nil, errors.Annotatef(errUsage, "token file (-token or FLAMINGOWIND_TOKEN_FILE): %v", err)
	}
	c := &Client{token: firstToken(string(token)), http: &http.Client{}}
	for _, s := range servers {
		if !strings.Contains(s, "://") {
			s = "http://" + s
		}
		c.servers = append(c.servers, strings.TrimRight(s, "/"))
	}
	return c, nil
}

func firstToken(text string) string {
	for line := range strings.Lines(text) {
		if line = strings.TrimSpace(line); line != "" && !strings.HasPrefix(line, "#") {
			return line
		}
	}
	return ""
}

// call sends one request to the first router that answers, and reads the answer into
// out. Going on to the next router is safe for writes too: they carry an operation ID.
func (c *Client) call(ctx context.Context, method, path string, body, out any) error {
	lost := false
	var last error
	for _, server := range c.servers {
		err := c.callOne(ctx, server, method, path, body, out)
		if !errors.Is(err, errUnreachable) && !errors.Is(err, errUndecided) && !worthAnother(err) {
			return err
		}
		lost = lost || errors.Is(err, errUndecided)
		last = err
	}
	if lost && method != http.MethodGet {
		return errors.Annotatef(errUndecided, "%v", last)
	}
	return last
}

// worthAnother says whether another router may do better: one may be cut off alone.
func worthAnother(err error) bool {
	var f *operator.Failure
	return errors.As(err, &f) && f.Status == http.StatusServiceUnavailable
}

func (c *Client) callOne(ctx context.Context, server, method, path string, body, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := c.send(ctx, server, method, path, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return errors.Annotatef(errUndecided, "%s: %v", server, err)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return refusalOf(resp.StatusCode, data)
	}
	return errors.Annotatef(json.Unmarshal(data, out), "answer of %s", server)
}

func (c *Client) send(ctx context.Context, server, method, path string, body any) (*http.Response, error) {
	b, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Annotate(err, "encode request")
	}
	req, err := http.NewRequestWithContext(ctx, method, server+"/api/v1"+path, bytes.NewReader(b))
	if err != nil {
		return nil, errors.Annotate(errUsage, err.Error())
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	resp, err := c.http.Do(req)
	switch {
	case err == nil:
		return resp, nil
	case dialFailed(err):
		return nil, errors.Annotatef(errUnreachable, "%v", err)
	default:
		return nil, errors.Annotatef(errUndecided, "%v", err)
	}
}

func refusalOf(status int, data []byte) error {
	var body operator.FailureBody
	if err := json.Unmarshal(data, &body); err != nil || body.Error == nil {
		return &operator.Failure{Status: status, Code: operator.CodeInternal, Message: http.StatusText(status)}
	}
	body.Error.Status = status
	return body.Error
}
