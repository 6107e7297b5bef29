package gateway

import (
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// BenchmarkStream relays a stream of single events from the upstream to the caller.
func BenchmarkStream(b *testing.B) {
	const events = 200
	env := newTestEnv(b)
	turn := make(chan struct{}, 1)
	env.startUpstreams(func(rw http.ResponseWriter, _ *http.Request) {
		for i := range events {
			<-turn
			fmt.Fprintf(rw, "id: %d\ndata: %060d\n\n", i+1, i)
			if err := http.NewResponseController(rw).Flush(); err != nil {
				return
			}
		}
	})
	b.ReportAllocs()
	for b.Loop() {
		b.StopTimer()
		turn <- struct{}{}
		resp, err := env.client.Do(env.newRequest("/stream/"))
		require.NoError(b, err)
		b.StartTimer()
		size := len(fmt.Sprintf("id: 1\ndata: %060d\n\n", 0))
		buf := make([]byte, 2*size)
		for i := 1; i < events; i++ {
			_, err := io.ReadAtLeast(resp.Body, buf, size)
			require.NoError(b, err)
			turn <- struct{}{}
		}
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(b, err)
		resp.Body.Close()
	}
}
