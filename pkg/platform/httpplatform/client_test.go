package httpplatform_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/platform"
	"github.com/flamingowind/flamingowind/pkg/platform/httpplatform"
	standin "github.com/flamingowind/flamingowind/pkg/standin/platform"
)

// generous is a timeout that no test waits for.
const generous = time.Minute

var txn = platform.Txn{Puts: []platform.Put{{Key: "k", Value: []byte("v")}}}

func newClient(t *testing.T, base string) *httpplatform.Client {
	t.Helper()
	c, err := httpplatform.New(base, generous)
	require.NoError(t, err)
	t.Cleanup(c.Close)
	return c
}

func serveFunc(t *testing.T, f http.HandlerFunc) *httpplatform.Client {
	t.Helper()
	server := httptest.NewServer(f)
	t.Cleanup(server.Close)
	return newClient(t, server.URL)
}

func TestStandInRoundTrip(t *testing.T) {
	server := httptest.NewServer(standin.New().Handler())
	defer server.Close()
	c, ctx := newClient(t, server.URL), t.Context()

	_, err := c.Table().Get(ctx, "a/1")
	require.ErrorIs(t, err, platform.ErrNotFound)
	require.NoError(t, c.Table().Commit(ctx, platform.Txn{
		Guards: []platform.Guard{{Key: "a/1"}},
		Puts:   []platform.Put{{Key: "a/1", Value: []byte("one")}, {Key: "a/2"}, {Key: "b/1"}},
	}))
	row, err := c.Table().Get(ctx, "a/1")
	require.NoError(t, err)
	require.Equal(t, platform.Row{Key: "a/1", Value: []byte("one"), Version: 1}, row)
	stale := platform.Txn{Guards: []platform.Guard{{Key: "a/1"}}, Puts: []platform.Put{{Key: "a/3"}}}
	require.ErrorIs(t, c.Table().Commit(ctx, stale), platform.ErrConflict)
	list, err := c.Table().List(ctx, "a/", "a/1", 10)
	require.NoError(t, err)
	require.Len(t, list, 1)
	require.Equal(t, "a/2", list[0].Key)

	_, err = c.Objects().Get(ctx, "o")
	require.ErrorIs(t, err, platform.ErrNotFound)
	require.NoError(t, c.Objects().Put(ctx, "o", []byte{0, 255}))
	data, err := c.Objects().Get(ctx, "o")
	require.NoError(t, err)
	require.Equal(t, []byte{0, 255}, data)
	hosts, err := c.Hosts().Hosts(ctx)
	require.NoError(t, err)
	require.Empty(t, hosts.Hosts)
	require.NoError(t, c.Weights().Open(ctx, "m"))
}

func TestStatusErrors(t *testing.T) {
	for status, want := range map[int]error{
		http.StatusConflict:            platform.ErrConflict,
		http.StatusServiceUnavailable:  platform.ErrRefused,
		http.StatusTooManyRequests:     platform.ErrRefused,
		http.StatusInternalServerError: platform.ErrUnknown,
		http.StatusBadRequest:          errors.BadRequest,
	} {
		c := serveFunc(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) })
		require.ErrorIs(t, c.Table().Commit(t.Context(), txn), want, "status %d", status)
	}
}

// A router commits a claim of an idempotency key and nobody listens at the platform.
// The user's request may be tried again elsewhere, but only if "nothing was written"
// is certain: no connection means that no byte left.
func TestNoConnectionIsRefused(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := listener.Addr().String()
	require.NoError(t, listener.Close())
	c := newClient(t, "http://"+addr)
	require.ErrorIs(t, c.Table().Commit(t.Context(), txn), platform.ErrRefused)

	gone, cancel := context.WithCancel(t.Context())
	cancel()
	require.ErrorIs(t, c.Table().Commit(gone, txn), platform.ErrRefused)
}

// A quota confirmation is recorded, the connection breaks before the answer, and the
// HTTP library sends the write again on a new connection. The user would see the
// confirmation refused as a duplicate of itself. The first call keeps the connection,
// as only calls on a kept connection are sent again.
func TestLostAnswerIsUnknownAndNotSentAgain(t *testing.T) {
	var posts atomic.Int32
	c := serveFunc(t, func(w http.ResponseWriter, _ *http.Request) {
		if posts.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
	})
	require.NoError(t, c.Table().Commit(t.Context(), txn))
	require.ErrorIs(t, c.Table().Commit(t.Context(), txn), platform.ErrUnknown)
	require.EqualValues(t, 2, posts.Load())
}

// Something between router and platform answers a write with a redirect. Followed, the
// write would become a read whose success looks like a commit (303), or would be sent
// twice (307): the user would hold a confirmation that nobody recorded.
func TestRedirectIsNotFollowed(t *testing.T) {
	for _, status := range []int{http.StatusSeeOther, http.StatusTemporaryRedirect} {
		var requests atomic.Int32
		c := serveFunc(t, func(w http.ResponseWriter, r *http.Request) {
			requests.Add(1)
			if r.URL.Path == "/elsewhere" {
				return
			}
			w.Header().Set("Location", "/elsewhere")
			w.WriteHeader(status)
		})
		require.ErrorIs(t, c.Table().Commit(t.Context(), txn), platform.ErrUnknown)
		require.EqualValues(t, 1, requests.Load())
	}
}

func TestCanceledInProgressIsUnknown(t *testing.T) {
	arrived := make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	c := serveFunc(t, func(_ http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-r.Context().Done()
	})
	go func() {
		<-arrived
		cancel()
	}()
	_, err := c.Table().Get(ctx, "k")
	require.ErrorIs(t, err, platform.ErrUnknown)
}

// The platform takes a call and never answers. The router must get its goroutine back.
func TestTimeoutEndsTheCall(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
	}))
	defer server.Close()
	c, err := httpplatform.New(server.URL, 200*time.Millisecond) // enough to connect on a busy host
	require.NoError(t, err)
	defer c.Close()
	_, err = c.Table().Get(t.Context(), "k")
	require.ErrorIs(t, err, context.DeadlineExceeded)
}

func TestBadAnswers(t *testing.T) {
	large := strings.Repeat("x", 1<<20)
	for name, f := range map[string]http.HandlerFunc{
		"cut": func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Content-Length", "9") },
		"no length": func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			defer conn.Close()
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\n\r\nthe first half"))
		},
		"too large": func(w http.ResponseWriter, _ *http.Request) {
			for range 17 {
				_, _ = w.Write([]byte(large))
			}
		},
	} {
		_, err := serveFunc(t, f).Objects().Get(t.Context(), "k")
		require.ErrorIs(t, err, platform.ErrUnknown, name)
	}
	c := serveFunc(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{")) })
	_, err := c.Table().Get(t.Context(), "k")
	require.ErrorIs(t, err, platform.ErrUnknown)
}

func TestNewChecksItsArguments(t *testing.T) {
	for _, base := range []string{"", "127.0.0.1:7000", "ftp://127.0.0.1", "http://"} {
		_, err := httpplatform.New(base, generous)
		require.Error(t, err, base)
	}
	_, err := httpplatform.New("http://127.0.0.1:7000", 0)
	require.Error(t, err)
}
