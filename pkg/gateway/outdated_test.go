package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a router that denies a route or a key which a newer configuration, unknown to it, allows.
func TestAnOutdatedRouterDeniesNothing(t *testing.T) {
	env := newTestEnv(t)
	env.startUpstreams(func(http.ResponseWriter, *http.Request) {})
	env.catalog.NotePeerVersion(2)
	for path, key := range map[string]string{"/added/": "k", "/safe/": "added"} {
		status, _, header := env.get(path, "X-Key", key)
		require.Equal(t, http.StatusServiceUnavailable, status, path)
		require.NotEmpty(t, header.Get("Retry-After"), path)
	}
	status, _, _ := env.get("/public/")
	require.Equal(t, http.StatusOK, status, "routes and keys that it knows are served")
	next := env.config()
	next.Version = 2
	env.catalog.Adopt(next, "store")
	status, _, _ = env.get("/added/", "X-Key", "k")
	require.Equal(t, http.StatusNotFound, status)
	status, _, _ = env.get("/safe/", "X-Key", "added")
	require.Equal(t, http.StatusUnauthorized, status)
	require.Equal(t, 1, env.upstreamRequests())
}

// Guards against a caller who is denied by an older configuration as the newer one that allows it comes into force just then.
func TestNobodyIsDeniedByAConfigurationThatIsBeingReplaced(t *testing.T) {
	env := newTestEnv(t)
	env.startUpstreams(func(http.ResponseWriter, *http.Request) {})
	for version := int64(2); version < 400; version++ {
		next := env.config()
		next.Version, next.Organisations[0].Keys = version, []string{fmt.Sprint("k", version)}
		env.catalog.NotePeerVersion(version)
		adopted := make(chan struct{})
		go func() {
			defer close(adopted)
			time.Sleep(time.Duration(version%8) * 50 * time.Microsecond)
			env.catalog.Adopt(next, "store")
		}()
		for status := 0; status != http.StatusOK; {
			status, _, _ = env.get("/safe/", "X-Key", fmt.Sprint("k", version))
			require.NotEqual(t, http.StatusUnauthorized, status, "version %d", version)
		}
		<-adopted
	}
}
