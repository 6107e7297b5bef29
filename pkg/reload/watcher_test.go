package reload_test

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/reload"
)

// testFile is a settings file under a watcher that takes any content but "faulty".
type testFile struct {
	file    string
	applied []string
	lines   *memory.Handler
	hup     chan os.Signal
}

func (w *testFile) apply(content []byte) error {
	if string(content) == "faulty" {
		return errors.New("faulty")
	}
	w.applied = append(w.applied, string(content))
	return nil
}

func (w *testFile) write(t *testing.T, content string) {
	require.NoError(t, os.WriteFile(w.file, []byte(content), 0o600))
}

// withWatcher runs the test with a watcher of a file that holds "first".
func withWatcher(t *testing.T, test func(t *testing.T, w *testFile)) {
	synctest.Test(t, func(t *testing.T) {
		w := &testFile{file: filepath.Join(t.TempDir(), "settings.yaml"), lines: memory.New(), hup: make(chan os.Signal)}
		w.write(t, "first")
		ctx, end := context.WithCancel(t.Context())
		defer end()
		watcher, err := reload.Open(w.file)
		require.NoError(t, err)
		go watcher.Run(ctx, w.hup, w.apply, &log.Logger{Handler: w.lines})
		synctest.Wait()
		test(t, w)
	})
}

// The operators replace the file. Half-way through it is gone for a moment, which is no
// fault; the whole file comes into force once, and not again while it stays as it is.
func TestAChangedFileIsAppliedOnce(t *testing.T) {
	withWatcher(t, func(t *testing.T, w *testFile) {
		require.NoError(t, os.Remove(w.file))
		time.Sleep(reload.Every)
		w.write(t, "second")
		time.Sleep(3 * reload.Every)
		synctest.Wait()
		require.Equal(t, []string{"second"}, w.applied)
		require.Empty(t, w.lines.Entries)
	})
}

// Guards against settings of a file that is just being written: half a file may be sound, with a
// store's address cut short or limits left out. Only the whole file comes into force.
func TestAFileIsNotAppliedWhileItIsWritten(t *testing.T) {
	const step = 50 * time.Millisecond
	for begun := time.Duration(0); begun < reload.Every; begun += step {
		withWatcher(t, func(t *testing.T, w *testFile) {
			time.Sleep(begun)
			for _, written := range []string{"", "sec", "second"} {
				w.write(t, written)
				time.Sleep(step)
			}
			time.Sleep(reload.Every)
			synctest.Wait()
			require.Equal(t, []string{"second"}, w.applied, "written from %v on", begun)
		})
	}
}

// Whoever announces settings expects them to be read at once, also when they are the
// same ones, or when the file can't be read.
func TestSignalReloadsAtOnce(t *testing.T) {
	withWatcher(t, func(t *testing.T, w *testFile) {
		w.hup <- syscall.SIGHUP
		synctest.Wait()
		require.Equal(t, []string{"first"}, w.applied)
		require.NoError(t, os.Remove(w.file))
		w.hup <- syscall.SIGHUP
		synctest.Wait()
		require.Len(t, w.lines.Entries, 1)
		require.Equal(t, "reload_failed", w.lines.Entries[0].Fields.Get("event"))
	})
}

// The operators replace the file without a word while a router starts, after it has read
// its settings and before it watches the file. It would go by the settings before, such
// as the address of a store that is gone, until the next change.
func TestAChangeDuringTheStartIsApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &testFile{file: filepath.Join(t.TempDir(), "settings.yaml"), lines: memory.New()}
		w.write(t, "first")
		ctx, end := context.WithCancel(t.Context())
		defer end()
		watcher, err := reload.Open(w.file)
		require.NoError(t, err)
		w.write(t, "second")
		go watcher.Run(ctx, w.hup, w.apply, &log.Logger{Handler: w.lines})
		time.Sleep(2 * reload.Every)
		synctest.Wait()
		require.Equal(t, []string{"second"}, w.applied)
	})
}

// A faulty file is told once and not every two seconds, and the next sound one counts.
func TestFaultyFileIsLoggedOnce(t *testing.T) {
	withWatcher(t, func(t *testing.T, w *testFile) {
		w.write(t, "faulty")
		time.Sleep(5 * reload.Every)
		synctest.Wait()
		require.Len(t, w.lines.Entries, 1)
		w.write(t, "third")
		time.Sleep(reload.Every)
		synctest.Wait()
		require.Equal(t, []string{"third"}, w.applied)
	})
}
