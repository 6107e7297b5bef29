package gateway

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a body within the configured maximum that its caller never sends again, as it exceeds the memory
// of one router: another may have room for it.
func TestBodiesThatExceedThisRoutersMemoryMayBeSentToAnother(t *testing.T) {
	for name, chunked := range map[string]bool{"length": false, "chunks": true} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t)
			env.limitBodies(1 << 20)
			env.startUpstreams(respondWith("ok"))
			status, header, _, err := env.post("/once/", longBody, chunked)
			require.NoError(t, err)
			require.Equal(t, http.StatusServiceUnavailable, status)
			require.NotEmpty(t, header.Get("Retry-After"))
			require.Zero(t, env.upstreamRequests())
		})
	}
}
