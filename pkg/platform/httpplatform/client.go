// Package httpplatform reaches the platform's services over HTTP, as the stand-in
// offers them. A real platform takes another adapter for the same interfaces.
package httpplatform

import (
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/platform"
)

// Limits of the client.
const (
	// maxAnswer bounds what is read of one answer, in bytes.
	maxAnswer = 16 << 20
	// maxHeaderBytes bounds an answer's headers, in bytes.
	maxHeaderBytes = 64 << 10
	maxConnections = 32
	idleTimeout    = 30 * time.Second
)

// Client holds the connections to one platform. It is safe for use by many goroutines.
type Client struct {
	base    *url.URL
	http    *http.Client
	timeout time.Duration
}

// New returns a client of the platform at base ("http://10.0.0.2:7000"). Each call
// ends within timeout, or when its context does.
func New(base string, timeout time.Duration) (*Client, error) {
	u, err := url.Parse(base)
	if err != nil {
		return nil, errors.Annotate(err, "platform URL")
	}
	if u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return nil, errors.NotValidf("platform URL %q", base)
	}
	if timeout <= 0 {
		return nil, errors.NotValidf("platform timeout %v", timeout)
	}
	return &Client{base: u, http: newHTTPClient(timeout), timeout: timeout}, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Table returns the table service.
func (c *Client) Table() platform.Table { return table{c} }

// Objects returns the object store.
func (c *Client) Objects() platform.Objects { return objects{c} }

// Hosts returns the host list.
func (c *Client) Hosts() platform.Hosts { return hosts{c} }

// Weights returns the weight store.
func (c *Client) Weights() platform.Weights { return weights{c} }

func newHTTPClient(timeout time.Duration) *http.Client {
	dialer := net.Dialer{Timeout: timeout}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:            dialer.DialContext,
			MaxConnsPerHost:        maxConnections,
			MaxIdleConnsPerHost:    maxConnections,
			IdleConnTimeout:        idleTimeout,
			MaxResponseHeaderBytes: maxHeaderBytes,
			DisableCompression:     true,
		},
		// A redirect would send a request a second time, and a POST as a GET. It is
		// taken as an answer, which no call expects.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
