package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against overloading an upstream that has just started: requests beyond its warm-up rate, here
// all requests, go to other upstreams. When all are cold, they are refused as not run, with a Retry-After.
func TestAColdUpstreamIsSentNoMoreThanItsWarmupRate(t *testing.T) {
	env := newTestEnv(t)
	served := make([]int, 2)
	countingHandler := func(i int) http.HandlerFunc {
		return func(rw http.ResponseWriter, _ *http.Request) { served[i]++ }
	}
	env.startUpstreams(countingHandler(0), countingHandler(1))
	cfg := env.config()
	cfg.Version, cfg.Services[0].Warmup, cfg.Services[0].ColdPerSecond = 2, time.Hour, 0.5
	env.catalog.Adopt(cfg, "test")
	list := env.catalog.Instances().List()
	for i := range list {
		list[i].WarmupTold = true
		if list[i].ID == "i0" {
			list[i].WarmupLeft = time.Hour
		}
	}
	env.catalog.Replace(list, 2, time.Now(), "test")
	for range 30 {
		require.Equal(t, http.StatusOK, env.status())
	}
	require.Equal(t, []int{0, 30}, served)

	env.catalog.ReplaceEvacuations([]string{"far"}, 1, "test")
	status, _, head := env.get("/safe/", "X-Key", "k")
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.NotEmpty(t, head.Get("Retry-After"))
	require.Equal(t, []int{0, 30}, served)
}
