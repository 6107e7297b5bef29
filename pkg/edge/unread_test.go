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

// Guards against a refusal that is lost in a reset, as its caller is still sending the body.
func TestCallersThatAreStillSendingGetTheRefusal(t *testing.T) {
	f := newFixture(t, http.HandlerFunc(engine), func(c *Config) {
		c.Limits.MaxBody, c.Limits.MaxBodies = 16<<20, 16<<20
	})
	free, refused := f.edge.bodies.take("other", f.edge.Limits.MaxBodies)
	if refused != nil {
		t.Fatal(refused)
	}
	defer free()
	for _, c := range []struct {
		name, key string
		size      int
		status    int
	}{
		{"no room", testKey, 16 << 20, http.StatusTooManyRequests},
		{"too large", testKey, 32 << 20, http.StatusRequestEntityTooLarge},
		{"wrong key", "wrong", 16 << 20, http.StatusUnauthorized},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
			fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n", c.key, c.size)
			answer := bufio.NewReader(conn)
			if _, err := answer.Peek(1); err != nil {
				t.Fatal("the refusal waits for the body: ", err)
			}
			if _, err := io.Copy(conn, strings.NewReader(strings.Repeat("x", c.size))); err != nil {
				t.Fatal(err)
			}
			resp, err := http.ReadResponse(answer, nil)
			if err != nil {
				t.Fatal(err)
			}
			same(t, "status", c.status, resp.StatusCode)
			if _, err := io.ReadAll(answer); err != nil {
				t.Fatal("reset: ", err)
			}
		})
	}
}
