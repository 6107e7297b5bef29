package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

const unframedHello = headerStart + "\r\nhello"

// newAskingPools returns pools that ask upstreams for the ID of their process.
func newAskingPools() *Pools {
	ps := NewPools(idHeader)
	ps.SetLifeCheck(LifeCheck{URI: "/life",
		Header:   func(upstream.ID) http.Header { return http.Header{} },
		IsReport: func(_ int, body []byte) bool { return string(body) != "garbage" },
		Denies: func(in *upstream.Instance, _ int, _ http.Header, body []byte) bool {
			return string(body) != string(in.ID)
		},
	})
	return ps
}

// serveAs serves requests on a connection as the process named id: the path /life tells it, others get an
// unframed answer that ends the connection.
func serveAs(id string) connScript {
	return func(c net.Conn, r *bufio.Reader) {
		for {
			in := readRequest(r)
			if in == nil {
				return
			}
			if in.URL.Path != "/life" {
				io.WriteString(c, unframedHello)
				return
			}
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
		}
	}
}

// Guards against taking the next process at the address of a crashed one for it, as a router that stood still does.
func TestTheNextProcessConfirmsNoAnswer(t *testing.T) {
	in := fakeUpstream(t, serveAs("i"), serveAs("next"))
	resp, err := do(t, newAskingPools(), get(in, "one"))
	require.NoError(t, err)
	defer resp.Close()
	_, err = io.ReadAll(resp)
	require.ErrorIs(t, err, ErrOtherLife)
	require.Equal(t, EndedUnconfirmed, resp.Ending)
}

// Guards against trusting a process that accepts a connection and ends before it answers on it.
func TestAConnectionWithoutAnAnswerConfirmsNothing(t *testing.T) {
	for name, script := range map[string]connScript{
		"closed":   func(_ net.Conn, r *bufio.Reader) { readRequest(r) },
		"cut head": func(c net.Conn, r *bufio.Reader) { readRequest(r); io.WriteString(c, "HTTP/1.1 200 OK\r\n") },
		"cut body": func(c net.Conn, r *bufio.Reader) {
			readRequest(r)
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\ni")
		},
		"stray answer": func(c net.Conn, r *bufio.Reader) { readRequest(r); io.WriteString(c, responseText("two", "i")) },
		"no report": func(c net.Conn, r *bufio.Reader) {
			readRequest(r)
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\ngarbage")
		},
		"no answer yet": func(_ net.Conn, r *bufio.Reader) { readRequest(r); readRequest(r) },
	} {
		t.Run(name, func(t *testing.T) {
			resp, err := do(t, newAskingPools(), get(fakeUpstream(t, serveAs("i"), script), "one"))
			require.NoError(t, err)
			defer resp.Close()
			_, err = io.ReadAll(resp)
			require.ErrorIs(t, err, ErrUnanswered)
		})
	}
}

// Guards against a connection for each unframed answer while one is kept, and against breaking off answers of
// an upstream that no longer listens but lives.
func TestAKeptConnectionConfirmsAnswers(t *testing.T) {
	accepted := make(chan struct{}, 10)
	counting := func(c net.Conn, r *bufio.Reader) {
		accepted <- struct{}{}
		serveAs("i")(c, r)
	}
	in := fakeUpstream(t, counting)
	ps := newAskingPools()
	resp, err := do(t, ps, get(in, "one"))
	require.NoError(t, err)
	require.NoError(t, ps.Probe(t.Context(), in))
	require.Equal(t, "hello", body(t, resp))
	require.Equal(t, EndedByClose, resp.Ending)
	resp, err = do(t, ps, get(in, "one"))
	require.NoError(t, err, "the kept connection is free again")
	require.Equal(t, "hello", body(t, resp))
	require.Len(t, accepted, 3, "the last answer used up the kept one")
}
