package telemetry

import (
	"io"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
)

// A router has left, and nobody reads its log any more. It must end all the same; its
// supervisor would otherwise wait until it kills it.
func TestAStoppedReaderDoesNotKeepTheProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader, pipe := io.Pipe()
		w, stop := StartAsync(pipe)
		_, err := w.Write([]byte("line\n"))
		require.NoError(t, err)
		synctest.Wait()
		stop()
		require.NoError(t, reader.Close()) // lets the writer's goroutine end
	})
}
