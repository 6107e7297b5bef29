package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/status"
)

// One of two gateways is not ready, and one address answers nothing. A script that watches
// them must see that by the exit code, an operator by the line.
func TestGatewaysAreShown(t *testing.T) {
	serve := func(s status.Status) string {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			require.NoError(t, json.NewEncoder(w).Encode(s))
		}))
		t.Cleanup(server.Close)
		return server.Listener.Addr().String()
	}
	well := serve(status.Status{Router: "r-1", Ready: true, Config: 3, Exchange: "direct", Faults: 5, EvacuatedZones: []string{"a", "b"},
		Software:  []status.Software{{Service: "s", Version: "1", Upstreams: 3}, {Service: "s", Version: "2"}, {Service: "t", Version: "1"}},
		Upstreams: []status.Upstream{{Usable: true}, {}, {Usable: true, Fault: "Addr is missing"}}})
	unready := serve(status.Status{Router: "r-2"})

	run := func(args ...string) (int, string) {
		var out, err bytes.Buffer
		code := Run(context.Background(), append([]string{"gateways"}, args...), &out, &err, func(string) string { return "" })
		return code, out.String()
	}
	code, out := run(well)
	require.Zero(t, code)
	require.Regexp(t, `r-1 +true +0 +3 +0 ms +0 +direct +3 +1 +1 +5 +a,b +s 1: 3, s 2: 0\n`, out)
	code, out = run(well, unready)
	require.Equal(t, 1, code)
	require.Regexp(t, `r-2 +false.* -\n`, out)
	code, out = run(well, "127.0.0.1:1")
	require.Equal(t, 1, code)
	require.Contains(t, out, "127.0.0.1:1")
	code, _ = run()
	require.Equal(t, 2, code)
}
