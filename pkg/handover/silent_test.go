package handover

import (
	"bufio"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against requests that are cut at a router which is well, as all upstreams that it waits for are slow, and
// against ones that wait at a router which is gone.
func TestOnlyRoutersThatAreGoneAreAbandoned(t *testing.T) {
	for name, alive := range map[string]bool{"alive": true, "gone": false} {
		t.Run(name, func(t *testing.T) {
			began, answer := make(chan struct{}), make(chan struct{})
			s := newTestRelay(t, startRouter(t, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Connection", "close")
				close(began)
				<-answer
			}))
			s.relay.SetAlive(func(string) bool { return alive })
			c := s.dial()
			io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			<-began
			s.relay.mu.Lock()
			s.relay.sweep(time.Now().Add(2 * abandonAfter))
			s.relay.mu.Unlock()
			close(answer)
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if !alive {
				require.Error(t, err)
				return
			}
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, resp.StatusCode)
		})
	}
}
