package operator_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/flamingowind/flamingowind/pkg/config"
	"github.com/flamingowind/flamingowind/pkg/operator"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

func TestObserverKeepsTheTimeOfAdoption(t *testing.T) {
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	o := operator.NewObserver()
	o.Observe(start, []wire.Member{{ID: "a", Version: 1}})
	o.Observe(start.Add(time.Second), []wire.Member{{ID: "a", Version: 1}, {ID: "b"}})
	require.Equal(t, start, o.Since("a"))
	o.Observe(start.Add(2*time.Second), []wire.Member{{ID: "a", Version: 2}})
	require.Equal(t, start.Add(2*time.Second), o.Since("a"))
	require.Zero(t, o.Since("b"))
}

// A router stops while an operator watches. The watch must end, so that the stop
// doesn't wait for the operator.
func TestServeEndsWatches(t *testing.T) {
	ignore := goleak.IgnoreCurrent()
	s := newSite(t, 0)
	s.server.Close()
	tokens, err := operator.NewTokens(s.tokens)
	require.NoError(t, err)
	api := operator.New(operator.Options{
		Router: "router-1", Store: config.NewStore(s.table, config.StoreOptions{}), Live: s.live, Fleet: s, Tokens: tokens, Drain: func() {},
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- api.Serve(ctx, l) }()
	s.server.URL = "http://" + l.Addr().String()
	resp := s.request(t.Context(), http.MethodGet, "/watch?from=0", "")
	require.Equal(t, http.StatusOK, resp.StatusCode)
	cancel()
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(t, err, "the stream ends cleanly")
	require.NoError(t, <-served)
	require.NoError(t, resp.Body.Close())
	http.DefaultClient.CloseIdleConnections()
	goleak.VerifyNone(t, ignore)
}
