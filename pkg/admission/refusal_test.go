package admission

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// postRequest is a request with a body, like most requests.
const postRequest = "POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"

// sendTo opens a connection and sends text on it.
func sendTo(t *testing.T, l *Listener, text string) net.Conn {
	c := dial(t, l)
	_, err := c.Write([]byte(text))
	require.NoError(t, err)
	return c
}

// statusOn returns the status of the response on a connection that is closed after it; 0 for none.
func statusOn(c net.Conn) int {
	in := bufio.NewReader(c)
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return 0
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	if _, err := in.ReadByte(); err != io.EOF {
		return 0
	}
	return resp.StatusCode
}

// Guards against a small overloaded router that closes most connections without a response. Callers
// that are closed retry at once: 5,300 connections per second arrived for 1,100 requests, and
// shedding them took the CPU that serving needs. The organisation whose callers all used that
// router got less than half of what another one got at a larger router.
func TestCallersOfOverloadedRouterAreRefusedNotClosed(t *testing.T) {
	const (
		smallHost = 0.2
		batch     = 100
		batches   = 30
	)
	l := newTestListener(t, smallHost)
	defer l.Close()
	clock := &manualClock{at: start}
	l.now = clock.now
	// The process gets its share of the elapsed time, and each refusal adds its cost.
	used := func() time.Duration {
		share := smallHost * float64(clock.now().Sub(start))
		return time.Duration(share) + time.Duration(l.refuser.refusedCount.Load())*initialRefusalCost
	}
	l.refuser.processCPU, l.refuser.threadCPU = used, used
	for range batches {
		clock.advance(time.Second / batches)
		var callers []net.Conn
		for range batch {
			callers = append(callers, sendTo(t, l, postRequest))
		}
		l.shedPending(always)
		for _, c := range callers {
			c.Close()
		}
	}
	refused, closed := l.ShedCounts()
	require.Zero(t, closed, "%d were refused", refused)
}

// Guards against complete requests that are kept for a later poll: each then takes a descriptor and
// several more system calls.
func TestCompleteRequestIsRefusedAtOnce(t *testing.T) {
	l := newTestListener(t, 0)
	defer l.Close()
	c := sendTo(t, l, postRequest)
	l.shedPending(always)
	l.refuser.mu.Lock()
	kept := len(l.refuser.pending)
	l.refuser.mu.Unlock()
	require.Zero(t, kept)
	require.Equal(t, http.StatusServiceUnavailable, statusOn(c))
}

// pendingState reports whether any refusal is pending, and whether the oldest connection has got
// its response.
func (r *refuser) pendingState() (pending, answered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.pending) == 0 {
		return false, false
	}
	return true, !r.pending[0].answeredAt.IsZero()
}

// Guards against a refusal that is lost because the connection is closed before the body of a large
// request has arrived: the close then resets the connection.
func TestRefusalReachesCallerThatStillSendsItsBody(t *testing.T) {
	for _, before := range []string{"", "POST /p HTTP/1.1\r\nHost: h\r\n", "POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 65536\r\n\r\nbo",
		"POST /p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbo"} {
		l := newTestListener(t, 0)
		for {
			c := sendTo(t, l, before)
			l.shedPending(always)
			pending, answered := l.refuser.pendingState()
			for pending && !answered && before != "" {
				runtime.Gosched()
				pending, answered = l.refuser.pendingState()
			}
			_, err := c.Write([]byte(strings.Repeat("x", 8<<10)))
			if pending, _ = l.refuser.pendingState(); !pending {
				continue // the test was stalled until the refuser gave up
			}
			require.NoError(t, err)
			require.Equal(t, http.StatusServiceUnavailable, statusOn(c), "%q", before)
			break
		}
		require.NoError(t, l.Close())
	}
}

// Guards against a full backlog, after the router was busy for half a second, of which half is
// closed although all of it may be refused: the budget must hold a whole batch.
func TestFullBacklogIsRefusedInOneBatch(t *testing.T) {
	l := newTestListener(t, 0)
	defer l.Close()
	require.Equal(t, maxShedBatch, l.refuser.budget.available(time.Now()))
}

// Guards against a caller that is refused by an idle router because it arrives just as shedding
// ends.
func TestCallerThatArrivesAsSheddingEndsIsAdmitted(t *testing.T) {
	l := newTestListener(t, 0)
	defer l.Close()
	c := sendTo(t, l, postRequest)
	first, open := l.shedPending(func() bool { return false })
	require.True(t, open)
	require.GreaterOrEqual(t, first, 0)
	admitted := l.admit(l.toTCPConn(first), time.Now())
	body := make([]byte, len(postRequest))
	n, err := admitted.Read(body)
	require.NoError(t, err)
	require.Equal(t, postRequest, string(body[:n]))
	_, err = admitted.Write([]byte(refusal))
	require.NoError(t, err)
	require.NoError(t, admitted.Close())
	require.Equal(t, http.StatusServiceUnavailable, statusOn(c))
}
