package load

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a run that counts an answer of a service as whole though its end is missing.
func TestEchoesThatAreCutAreNotWhole(t *testing.T) {
	const whole = `{"standin_marker":"m-1","text":"service"}`
	for cut := range len(whole) + 1 {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(whole[:cut]))
		}))
		c := NewCaller("model", "service", time.Minute)
		res := c.Do(t.Context(), Request{Marker: "m-1", Form: ServiceCall, Entry: strings.TrimPrefix(s.URL, "http://")})
		c.Close()
		s.Close()
		require.Equal(t, cut == len(whole), res.Outcome == Whole, "cut at %d: %s", cut, res.Fault)
	}
}
