package dispatch

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/flamingowind/flamingowind/internal/sockerr"
)

const (
	dialTimeout        = 2 * time.Second
	keepAliveInterval  = 15 * time.Second
	idleTimeout        = 60 * time.Second
	maxIdlePerUpstream = 64
	maxIdleTotal       = 512
	maxResponseHeader  = 32 << 10
	connBufferSize     = 4 << 10
)

// newTransport returns an HTTP/1.1 transport that keeps connections alive, ignores proxy settings of
// the environment and doesn't decompress.
func newTransport() *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext:            gatedDial(newDialer()),
		Protocols:              protocols,
		DisableCompression:     true,
		MaxIdleConns:           maxIdleTotal,
		MaxIdleConnsPerHost:    maxIdlePerUpstream,
		IdleConnTimeout:        idleTimeout,
		TLSHandshakeTimeout:    dialTimeout,
		MaxResponseHeaderBytes: maxResponseHeader,
		ReadBufferSize:         connBufferSize,
		WriteBufferSize:        connBufferSize,
	}
}

func newDialer() *net.Dialer { return &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAliveInterval} }

func gatedDial(dialer *net.Dialer) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dialer.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		wrapped, err := sockerr.Wrap(c.(*net.TCPConn))
		if err != nil {
			_ = c.Close()
			return nil, err
		}
		return &conn{Conn: wrapped}, nil
	}
}
