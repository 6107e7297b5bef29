package forward

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

const idHeader = "Request-Id"

// connScript plays an upstream on one connection.
type connScript func(c net.Conn, r *bufio.Reader)

// fakeUpstream runs one script per connection, in order, and repeats the last one.
func fakeUpstream(t *testing.T, scripts ...connScript) *upstream.Instance {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for i := 0; ; i++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func(s connScript) {
				defer c.Close()
				s(c, bufio.NewReader(c))
			}(scripts[min(i, len(scripts)-1)])
		}
	}()
	return &upstream.Instance{ID: "i", Addr: l.Addr().String()}
}

// readRequest reads a request with its body. It returns nil if the connection has ended.
func readRequest(r *bufio.Reader) *http.Request {
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil
	}
	if _, err := r.Discard(int(req.ContentLength)); err != nil {
		return nil
	}
	return req
}

func get(in *upstream.Instance, id string) *Call {
	return &Call{Instance: in, Method: http.MethodGet, URI: "/x", Host: "h", Header: http.Header{idHeader: {id}}, RequestID: id}
}

func do(t *testing.T, ps *Pools, c *Call) (*Response, error) {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	return ps.Do(ctx, c)
}

func responseText(id, body string) string {
	return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

func itoa(n int) string { return string(rune('0'+n/10)) + string(rune('0'+n%10)) }
