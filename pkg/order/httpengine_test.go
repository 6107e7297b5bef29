package order

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

func always() bool { return true }

func TestHTTPEngineAnswers(t *testing.T) {
	status := http.StatusOK
	var got Command
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet && r.URL.Path == statePath {
			_ = json.NewEncoder(w).Encode(State{Model: "m", Fence: 3})
			return
		}
		_ = json.NewDecoder(r.Body).Decode(&got)
		w.WriteHeader(status)
	}))
	defer server.Close()
	e := NewHTTPEngine()
	state, err := e.State(t.Context(), server.URL)
	require.NoError(t, err)
	require.Equal(t, State{Model: "m", Fence: 3}, state)
	command := Command{Fence: 4, ID: "a", Model: "m2"}
	require.NoError(t, e.Send(t.Context(), server.URL, command, always))
	require.Equal(t, command, got)
	status = http.StatusPreconditionFailed
	require.ErrorIs(t, e.Send(t.Context(), server.URL, command, always), ErrOldFence)
	status = http.StatusBadRequest
	require.ErrorIs(t, e.Send(t.Context(), server.URL, command, always), ErrRejected)
	status = http.StatusBadGateway
	require.False(t, nothingDone(e.Send(t.Context(), server.URL, command, always)))
}

// The lease lapses while the connection is made. The engine must not get an order that
// it could follow.
func TestHTTPEngineChecksLeaseAfterConnecting(t *testing.T) {
	var whole, connected atomic.Int32
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if body, err := io.ReadAll(r.Body); err == nil && len(body) > 0 {
			whole.Add(1)
		}
	}))
	server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			connected.Add(1)
		}
	}
	server.Start()
	err := NewHTTPEngine().Send(t.Context(), server.URL, Command{Model: "m"}, func() bool { return false })
	require.ErrorIs(t, err, ErrLapsed)
	server.Close()
	require.Zero(t, whole.Load())
	require.EqualValues(t, 1, connected.Load(), "the check came after connecting")
}

// The engine closes the connection under an order. net/http must not send it again by
// itself, past the check of the lease; it does so only on connections that it reuses.
func TestHTTPEngineSendsOnce(t *testing.T) {
	var tries atomic.Int32
	peers := make(map[string]bool)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		peers[r.RemoteAddr] = true
		if tries.Add(1)%2 == 1 {
			return
		}
		conn, _, _ := w.(http.Hijacker).Hijack()
		_ = conn.Close()
	}))
	defer server.Close()
	e := NewHTTPEngine()
	for range 3 {
		require.NoError(t, e.Send(t.Context(), server.URL, Command{Model: "m"}, always))
		err := e.Send(t.Context(), server.URL, Command{Model: "m"}, always)
		require.Error(t, err)
		require.False(t, nothingDone(err))
	}
	require.EqualValues(t, 6, tries.Load())
	require.Len(t, peers, 6, "a connection for each order")
}
