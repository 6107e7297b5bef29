package dispatch

import (
	"context"
	"net"
	"net/http"
	"time"
)

const (
	dialTimeout     = 2 * time.Second
	keepAlive       = 15 * time.Second
	idleTimeout     = 60 * time.Second
	idlePerUpstream = 64
	idleTotal       = 512
	maxAnswerHeader = 32 << 10
	connBuffer      = 4 << 10
)

// newTransport makes a transport for HTTP/1.1 that keeps connections alive, follows
// no proxy of the environment and never decompresses.
func newTransport() *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext:            dialThrough(newDialer()),
		Protocols:              protocols,
		DisableCompression:     true,
		MaxIdleConns:           idleTotal,
		MaxIdleConnsPerHost:    idlePerUpstream,
		IdleConnTimeout:        idleTimeout,
		TLSHandshakeTimeout:    dialTimeout,
		MaxResponseHeaderBytes: maxAnswerHeader,
		ReadBufferSize:         connBuffer,
		WriteBufferSize:        connBuffer,
	}
}

func newDialer() *net.Dialer { return &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive} }

func dialThrough(dialer *net.Dialer) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dialer.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c}, nil
	}
}
