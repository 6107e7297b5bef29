package admission

import (
	"bufio"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// requestStatus sends a request on a new connection and returns the status of the response; 0 when
// the connection was closed without one. connected, if not nil, is called once the connection is
// open.
func requestStatus(t *testing.T, addr string, connected func()) int {
	c, err := net.Dial("tcp", addr)
	if connected != nil {
		connected()
	}
	if err != nil {
		t.Error(err)
		return 0
	}
	defer c.Close()
	if _, err := c.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")); err != nil {
		return 0 // already closed by the listener
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	return resp.StatusCode
}

// manualClock stands still until it is advanced.
type manualClock struct {
	mu sync.Mutex
	at time.Time
}

func (c *manualClock) now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.at
}

func (c *manualClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at = c.at.Add(d)
}

// advancingBy returns a clock that advances by d on each call.
func (c *manualClock) advancingBy(d time.Duration) func() time.Time {
	return func() time.Time {
		c.advance(d)
		return c.now()
	}
}
