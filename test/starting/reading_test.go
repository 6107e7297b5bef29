package starting_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/internal/failtest"
)

// exitSettings is the exit code for faulty settings.
const exitSettings = 2

// A router reads its settings from a slow place when other settings are announced with
// SIGHUP. One that took the signal only after them ended with 129. It must go on: here
// to find that the settings, which come after the signal, are faulty.
func TestTheSignalWhileSettingsAreReadIsSurvived(t *testing.T) {
	for _, program := range routers {
		pipe := filepath.Join(t.TempDir(), "settings.yaml")
		require.NoError(t, syscall.Mkfifo(pipe, 0o600))
		cmd := exec.Command(failtest.Program(program), "run", "-settings", pipe)
		require.NoError(t, cmd.Start())
		t.Cleanup(func() { _ = cmd.Process.Kill() })
		writer, err := os.OpenFile(pipe, os.O_WRONLY, 0) // returns when the program reads
		require.NoError(t, err)
		require.NoError(t, cmd.Process.Signal(syscall.SIGHUP))
		_, err = writer.WriteString("router: [\n")
		require.NoError(t, err)
		require.NoError(t, writer.Close())
		require.Error(t, cmd.Wait())
		require.Equal(t, exitSettings, cmd.ProcessState.ExitCode(), "%s: %s", program, cmd.ProcessState)
	}
}
