package status

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"
)

func sample() Status {
	return Status{Router: "router-01", Zone: "north", Config: 7, ListAgeMs: 12, Exchange: "direct",
		Routers: []Router{{Name: "router-02", Callers: "10.0.0.2:1", Ready: true}},
		Upstreams: []Upstream{{ID: "i-1", State: "ready", Usable: true}, {ID: "i-<2>", State: "ready"}, {ID: "i-3", State: "unusable", Usable: true, Born: 1, Fault: "Addr <is> missing"},
			{ID: "i-4", State: "ready", Usable: true, Held: true}}, Faults: 4,
		Software: []Software{{Service: "s", Version: "v<1>", Upstreams: 2, Slots: 8, Open: true}}, Streams: 3,
		Organisations: []Organisation{{Name: "org", Asked: 10, Got: 5, Standing: 0.5}}}
}

func get(t *testing.T, path string) string {
	metrics := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("metric 1\n")) })
	s := httptest.NewServer(Handler(sample, metrics, &log.Logger{Handler: discard.New()}))
	defer s.Close()
	resp, err := http.Get(s.URL + path)
	require.NoError(t, err)
	defer resp.Body.Close()
	require.Equal(t, http.StatusOK, resp.StatusCode)
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return string(body)
}

func TestStatusAsJSON(t *testing.T) {
	var s Status
	require.NoError(t, json.Unmarshal([]byte(get(t, PathJSON)), &s))
	require.Equal(t, sample(), s)
	require.Equal(t, "metric 1\n", get(t, PathMetrics))
}

// The page shows names that others chose; none of them may become part of the page.
func TestStatusPage(t *testing.T) {
	page := get(t, "/")
	for _, text := range []string{"router-01", "version 7", "router-02", "does not answer", "0.50", "i-&lt;2&gt;", "not used: Addr &lt;is&gt; missing", "<dd>4</dd>", "ready, not listed any more"} {
		require.Contains(t, page, text)
	}
	require.NotContains(t, page, "i-<2>")
}
