package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// startVersions starts an instance of each software version; the first one is preferred and breaks
// off after the events 1 and 2, or before the first one.
func (env *testEnv) startVersions(eventsBefore int, versions ...string) {
	handlers := []http.HandlerFunc{respondRaw(fmt.Sprintf(chunkedStreamHead, versions[0]) + brokenAfter(eventsBefore))}
	for _, v := range versions[1:] {
		handlers = append(handlers, func(rw http.ResponseWriter, r *http.Request) {
			rw.Header().Set("X-First", v)
			if r.Header.Get("X-After") == "2" {
				io.WriteString(rw, strings.ReplaceAll(events(3, 4), "data: ", "data: "+v+" "))
				return
			}
			io.WriteString(rw, strings.ReplaceAll(events(1, 4), "data: ", "data: "+v+" "))
		})
	}
	env.startUpstreams(handlers...)
	for i, v := range versions {
		env.instances[i].Software = v
	}
	env.catalog.Replace(env.instances, 2, time.Now(), "test")
}

func brokenAfter(n int) string {
	if n == 0 {
		return ""
	}
	return chunk(events(1, n) + "id: 3\nda")
}

// Guards against a stream that goes on at another software version than the one that began it,
// within one response.
func TestStreamsGoOnAtTheSoftwareThatBeganThem(t *testing.T) {
	for _, others := range [][]string{{"v1", "v2", "v2", "v2"}, {"v2", "v1", "v2", "v2"}, {"v2", "v2", "v1", "v2"}, {"v2", "v2", "v2", "v1"}, {"v0", "v2", "v1", "v3"}} {
		t.Run(strings.Join(others, " "), func(t *testing.T) {
			env := newTestEnv(t)
			env.startVersions(2, append([]string{"v1"}, others...)...)
			status, body, _ := env.get("/resume/")
			require.Equal(t, 200, status)
			require.Equal(t, events(1, 2)+strings.ReplaceAll(events(3, 4), "data: ", "data: v1 "), body)
		})
	}
}

// Guards against the same where no other instance of that version is left, and against a response
// that ends late then, or looks complete.
func TestStreamsOfSoftwareThatIsGoneBreakOff(t *testing.T) {
	for _, others := range [][]string{{"v2"}, {"v2", "v3"}, {"", "v0", "v2"}} {
		t.Run(strings.Join(others, " "), func(t *testing.T) {
			env := newTestEnv(t)
			env.startVersions(2, append([]string{"v1"}, others...)...)
			resp, err := env.client.Do(env.newRequest("/resume/"))
			require.NoError(t, err)
			defer resp.Body.Close()
			data, err := io.ReadAll(resp.Body)
			require.Error(t, err)
			require.Equal(t, events(1, 2), string(data))
			require.Equal(t, 1, env.upstreamRequests(), "no other version is asked")
		})
	}
}

// Guards against a stream that is bound to a software version before its first event.
func TestStreamsThatHaveNotBegunRunAtAnySoftware(t *testing.T) {
	env := newTestEnv(t)
	env.startVersions(0, "v1", "v2")
	status, body, _ := env.get("/resume/")
	require.Equal(t, 200, status)
	require.Equal(t, strings.ReplaceAll(events(1, 4), "data: ", "data: v2 "), body)
}
