package callers_test

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/internal/failtest"
	"github.com/flamingowind/flamingowind/pkg/load"
	"github.com/flamingowind/flamingowind/pkg/settings"
	"github.com/flamingowind/flamingowind/pkg/verdict"
)

// logToPipe starts router i again with its log in a pipe and gives the pipe's reader.
func logToPipe(t *testing.T, w *failtest.World, i int) *os.File {
	t.Helper()
	r := w.Routers[i]
	pipe, file := filepath.Join(t.TempDir(), "log"), r.LogFile
	require.NoError(t, syscall.Mkfifo(pipe, 0o600))
	reader, err := os.OpenFile(pipe, os.O_RDONLY|syscall.O_NONBLOCK, 0)
	require.NoError(t, err)
	t.Cleanup(func() { _ = reader.Close() })
	require.NoError(t, r.Terminate())
	w.AwaitEnd(i)
	r.LogFile = pipe
	w.Return(i)
	r.LogFile = file
	return reader
}

// announce puts another bound of bodies in force at router i and waits until it holds.
func announce(t *testing.T, w *failtest.World, i int, maxBody settings.Bytes) {
	t.Helper()
	require.NoError(t, w.Rewrite(i, func(s *settings.Settings) { s.Limits.MaxBody = maxBody }))
	require.NoError(t, w.Routers[i].Hangup())
	w.Eventually("the bound holds", func() bool {
		r := w.Send(w.Request(load.Plain, 0, i, 1))
		return failtest.Code(verdict.CodeTooLarge)(r) == (maxBody < smallest)
	})
}

// Bounds of bodies under and over what a request of these tests has.
const (
	smallest settings.Bytes = 16
	usual    settings.Bytes = 1 << 20
)

// The program that reads a router's standard error ends, as a log collector that is
// replaced does. At its next line the router got SIGPIPE, whose default action for
// standard error ends the process: answers broke off in the middle ("unexpected EOF").
func TestARouterWhoseLogReaderIsGoneServesOn(t *testing.T) {
	t.Parallel()
	w := failtest.Start(t, nil)
	reader := logToPipe(t, w, 0)
	sent := w.SendAll(w.Requests(9, load.Streamed, 150)...)
	w.AwaitRunning(9)
	require.NoError(t, reader.Close())
	announce(t, w, 0, smallest-1)
	announce(t, w, 0, usual) // heard only after the line about the one before was written
	w.AllWhole(sent.Wait())
	require.False(t, w.Routers[0].Ended())
}

// The reader of the log stops reading, and the pipe is full. A router that writes its
// lines itself stands still at the next one with whatever wrote it: other settings are
// never heard of, and a router that should leave does not.
func TestARouterWhoseLogReaderStopsServesOn(t *testing.T) {
	t.Parallel()
	w := failtest.Start(t, nil)
	logToPipe(t, w, 0)
	file := filepath.Join(w.Plan.Dir, w.Routers[0].Info.ID+".yaml")
	var faults bytes.Buffer
	for i := range 1000 { // each is named in the line about the faulty file, with all known keys
		fmt.Fprintf(&faults, "unknown%d: 1\n", i)
	}
	require.NoError(t, os.WriteFile(file, faults.Bytes(), 0o600))
	require.NoError(t, w.Routers[0].Hangup())
	announce(t, w, 0, smallest-1)
	announce(t, w, 0, usual)
	require.NoError(t, w.Routers[0].Terminate())
	w.AwaitEnd(0)
}
