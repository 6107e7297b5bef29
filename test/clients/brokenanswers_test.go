package clients_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/internal/sockettest"
	"github.com/flamingowind/flamingowind/platform/platformtest"
)

// resetPlays is how often a reset is played: which part of a router sees it is a matter of chance.
const resetPlays = 40

// answerTo is what a caller gets for one request to engines that behave like that.
func (g *gateway) answerTo(t *testing.T, of func(c net.Conn, r *http.Request), path string, body int) platformtest.Answer {
	for _, e := range g.engines {
		e.Behave(platformtest.Behaviour{Raw: of})
	}
	defer func() {
		for _, e := range g.engines {
			e.Behave(platformtest.Behaviour{})
		}
	}()
	caller := platformtest.NewCaller()
	defer caller.Close()
	call := platformtest.Call{ID: "broken", Addr: callers(g), Path: path, Key: key, Body: strings.Repeat("b", body), Wait: readyIn}
	return caller.Send(t.Context(), call)
}

// respond writes an answer in which ID stands for the request's.
func respond(c net.Conn, r *http.Request, answer string) {
	_, _ = io.WriteString(c, strings.ReplaceAll(answer, "ID", r.Header.Get("Request-Id"))) // the router may have closed
}

// An upstream answers a long body early and resets the connection while the body is still being written.
func TestAResetDuringTheRequestEndsNoAnswer(t *testing.T) {
	g := startGateway(t, usualHost.memoryMiB)
	for name, end := range map[string]func(c *net.TCPConn){
		"reset":                    func(c *net.TCPConn) { _ = c.SetLinger(0) },
		"closed with unread bytes": sockettest.AwaitUnread,
	} {
		for path, part := range map[string]string{platformtest.PathOnce: plainAnswer + "\r\npart", platformtest.PathStreamOnce: streamAnswer + "\r\nid: 1\ndata: x\n\n"} {
			broken := func(c net.Conn, r *http.Request) {
				respond(c, r, part)
				_, _ = io.ReadFull(c, make([]byte, 1))
				time.Sleep(20 * time.Millisecond) // the socket of the router fills
				end(c.(*net.TCPConn))
			}
			for range resetPlays {
				a := g.answerTo(t, broken, path, longBody)
				require.Falsef(t, a.Whole && a.Status == http.StatusOK, "%s, %s: %+v", name, path, a)
			}
		}
	}
	g.requireCalm(t)
}

// An upstream sends a success that doesn't name the request, or doesn't prove that the upstream ran it.
func TestUnprovenSuccessesReachNoCaller(t *testing.T) {
	g := startGateway(t, usualHost.memoryMiB)
	for name, head := range map[string]string{
		"neither":       "HTTP/1.1 200 OK\r\n",
		"no ID":         "HTTP/1.1 200 OK\r\n" + platformtest.RawStamp,
		"no stamp":      "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\n",
		"after interim": "HTTP/1.1 103 Early Hints\r\nRequest-Id: ID\r\n" + platformtest.RawStamp + "\r\nHTTP/1.1 200 OK\r\n",
	} {
		for path, body := range map[string]string{
			platformtest.PathOnce: "Content-Length: 2\r\n\r\nno", platformtest.PathCall: "Content-Length: 2\r\n\r\nno",
			platformtest.PathStreamOnce: "Content-Type: text/event-stream\r\nContent-Length: 16\r\n\r\nid: 1\ndata: no\n\n",
		} {
			a := g.answerTo(t, func(c net.Conn, r *http.Request) { respond(c, r, head+body) }, path, 1)
			require.Truef(t, a.Whole && (a.Status == http.StatusBadGateway || a.Refused), "%s at %s: %+v", name, path, a)
		}
	}
	g.requireCalm(t)
}

// An upstream sends bytes that are no response of HTTP/1.
func TestMalformedHeadsReachNoCaller(t *testing.T) {
	g := startGateway(t, usualHost.memoryMiB)
	const sized = "Content-Length: 2\r\n\r\nno"
	for name, answer := range map[string]string{
		"status 000":                      "HTTP/1.1 000 \r\nRequest-Id: ID\r\n" + sized,
		"status 000 before a response":    "HTTP/1.1 000 \r\n\r\n" + plainAnswer + sized,
		"blank in a name":                 plainAnswer + "X Y: 1\r\n" + sized,
		"blank after the length's name":   plainAnswer + "Content-Length : 9\r\n\r\nno",
		"blank after the encoding's name": plainAnswer + "Transfer-Encoding : chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
		"control byte in a name":          plainAnswer + "X\x01Y: 1\r\n" + sized,
	} {
		for _, path := range []string{platformtest.PathOnce, platformtest.PathCall, platformtest.PathStreamOnce} {
			a := g.answerTo(t, func(c net.Conn, r *http.Request) { respond(c, r, answer) }, path, 1)
			require.Truef(t, a.Whole && (a.Status == http.StatusBadGateway || a.Refused), "%s at %s: %+v", name, path, a)
			require.NotContains(t, a.Body, "no\r\n", fmt.Sprint(name, path))
		}
	}
	g.requireCalm(t)
}
