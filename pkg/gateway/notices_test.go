package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// Guards against announcements that come into force only once the response has been passed on: requests that
// were placed before and wait for a connection or the CPU would still be sent.
func TestAnAnnouncementIsInForceWhenTheHeadIsRead(t *testing.T) {
	env := newTestEnv(t)
	headSent, release := make(chan struct{}), make(chan struct{})
	env.startUpstreams(func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("X-Leaving", "1")
		rw.WriteHeader(http.StatusOK)
		rw.(http.Flusher).Flush()
		close(headSent)
		<-release
	}, respondWith("other"))
	chosen := env.catalog.Instances().Get("i0")
	r := &request{route: &env.config().Routes[0], service: &env.config().Services[0], in: env.newRequest("/safe/")}
	require.True(t, env.gateway.sendable(r, chosen))
	done := make(chan struct{})
	go func() {
		defer close(done)
		env.get("/safe/")
	}()
	<-headSent
	require.Eventually(t, func() bool { return !env.gateway.sendable(r, chosen) }, 5*time.Second, time.Millisecond)
	_, body, _ := env.get("/safe/")
	require.Equal(t, "other", body)
	close(release)
	<-done
}

// Guards against announcements that are forgotten because their response was dropped for a retry.
func TestAnAnnouncementInADroppedResponseCounts(t *testing.T) {
	env := newTestEnv(t)
	env.startUpstreams(func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("X-Leaving", "1")
		rw.WriteHeader(http.StatusInternalServerError)
	}, respondWith("other"))
	_, body, _ := env.get("/safe/")
	require.Equal(t, "other", body)
	require.Equal(t, upstream.Draining, env.catalog.Instances().Get("i0").State)
}

// Guards against an upstream that takes another one out of use: by a response from the other's address, or in the
// other's name from an address that isn't its.
func TestNoticesCountForTheirSenderAlone(t *testing.T) {
	env := newTestEnv(t)
	env.startUpstreams(respondWith("0"), respondWith("1"), respondWith("2"))
	in := env.catalog.Instances().Get("i0")
	for name, n := range map[string]upstream.Notice{
		"of nobody":            {Leaving: true, Misdirected: true},
		"of an unlisted one":   {Leaving: true, Misdirected: true, Sender: "other"},
		"of one elsewhere":     {Leaving: true, Misdirected: true, Sender: "i1"},
		"in the name of other": {Leaving: true, Sender: "i2"},
	} {
		env.gateway.observeNotice(in, n)
		require.Empty(t, env.catalog.Departures(), name)
	}
	env.gateway.observeNotice(in, upstream.Notice{Leaving: true, Misdirected: true, Sender: "i0"})
	require.Len(t, env.catalog.Departures(), 1)
}
