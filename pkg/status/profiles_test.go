package status

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

// Profiles tell addresses and names of the program. They must not be there unless asked for.
func TestProfilesAreOffByDefault(t *testing.T) {
	teapot := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTeapot) })
	for _, one := range []struct {
		handler http.Handler
		path    string
		status  int
	}{
		{teapot, PathProfile + "heap", http.StatusTeapot},
		{WithProfiles(teapot), PathProfile + "heap?debug=1", http.StatusOK},
		{WithProfiles(teapot), PathMetrics, http.StatusTeapot},
	} {
		answer := httptest.NewRecorder()
		one.handler.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, one.path, nil))
		require.Equal(t, one.status, answer.Code, one.path)
	}
}
