package admission

import (
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// readTime is the CPU time for reading a request on a host with a whole core.
const readTime = 40 * time.Microsecond

// An idle host with a whole core must admit a burst of a thousand connections. The listener's clock
// advances by the cost of each request instead of wall-clock time, because a busy neighbour may
// delay the test process itself.
func TestBurstAtIdleListenerIsAdmitted(t *testing.T) {
	l := newTestListener(t, 0)
	clock := &manualClock{at: start}
	l.now = clock.now
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }),
		ConnState: func(c net.Conn, state http.ConnState) {
			if state == http.StateActive {
				clock.advance(readTime)
				c.(*Conn).ReleaseReadSlot()
			}
		}}
	go s.Serve(l)
	t.Cleanup(func() { s.Close() })
	var all sync.WaitGroup
	for range 1000 {
		all.Go(func() {
			if status := requestStatus(t, l.Addr().String(), nil); status != http.StatusNoContent {
				t.Errorf("status %d", status)
			}
		})
	}
	all.Wait()
	refused, closed := l.ShedCounts()
	require.Zero(t, refused+closed)
}
