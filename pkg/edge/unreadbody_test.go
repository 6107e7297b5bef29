package edge

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against a refusal that is lost in a reset, as its caller is still sending the body, and against one that
// waits for the body.
func TestRefusalsDontWaitForTheBody(t *testing.T) {
	f := newFixture(t, noUpstream(t), nil)
	for _, c := range []struct {
		name, path, key string
		size            int64
		status          int
	}{
		{"no path", "/none", testKey, 1 << 20, http.StatusNotFound},
		{"too large", "/v1/completions", testKey, 2 * f.edge.limits.Load().MaxBody, http.StatusRequestEntityTooLarge},
		{"unknown key", "/v1/completions", "none", 1 << 20, http.StatusUnauthorized},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
			fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n", c.path, c.key, c.size)
			answer := bufio.NewReader(conn)
			if _, err := answer.Peek(1); err != nil {
				t.Fatal("the refusal waits for the body")
			}
			if _, err := io.CopyN(conn, zeros{}, c.size); err != nil {
				t.Fatal(err)
			}
			resp, err := http.ReadResponse(answer, nil)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.ReadAll(resp.Body); err != nil {
				t.Fatal(err)
			}
			same(t, "status", c.status, resp.StatusCode)
			if _, err = conn.Read(make([]byte, 1)); err != io.EOF {
				t.Error("reset:", err)
			}
		})
	}
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }
