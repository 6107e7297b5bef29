package replay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against requests at engines that a release has replaced or hasn't started yet, and against KV
// cache that is fetched from another software version.
func TestReleasedEnginesServeInTheirTime(t *testing.T) {
	w := &world{model: &Model{Keeps: 1}, service: Service{Slow: []float64{1, 2}}}
	for i := range 2 {
		w.engines = append(w.engines, newEngine(w.model, i, w.service.Slow[i]))
	}
	w.release([]Release{{At: time.Second, Gap: time.Second, Engines: []int{1, 0}, Version: "2"}})
	require.Len(t, w.engines, 4)
	serving := func(at time.Duration) (list []string) {
		for _, e := range w.engines {
			if e.serves(at) {
				list = append(list, string(e.instance.ID)+e.instance.Software)
			}
		}
		return list
	}
	require.Equal(t, []string{"a", "b"}, serving(0))
	require.Equal(t, []string{"a", "b-02"}, serving(time.Second))
	require.Equal(t, []string{"b-02", "a-02"}, serving(2*time.Second))
	require.Equal(t, 2.0, w.engines[2].slow)
}
