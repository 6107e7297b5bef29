package starting_test

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/internal/devfleet"
	"github.com/flamingowind/flamingowind/internal/failtest"
)

// A supervisor starts a gateway with SIGHUP ignored, so that the signal can't end it
// before it takes it. A gateway that went on ignoring it would never hear of other
// settings.
func TestAGatewayStartedWithTheSignalIgnoredHearsItLater(t *testing.T) {
	signal.Ignore(syscall.SIGHUP)
	defer signal.Reset(syscall.SIGHUP)
	cmd := exec.Command(failtest.Program("flamingowind-gateway"), "run", "-settings", gatewaySettings(t))
	out, err := cmd.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, cmd.Start())
	t.Cleanup(func() { _ = cmd.Process.Kill(); _ = cmd.Wait() })
	lines := bufio.NewScanner(out)
	awaitEvent(t, lines, "start")
	require.NoError(t, cmd.Process.Signal(syscall.SIGHUP))
	awaitEvent(t, lines, "reload")
}

// awaitEvent reads lines up to the one of the event.
func awaitEvent(t *testing.T, lines *bufio.Scanner, event string) {
	t.Helper()
	for lines.Scan() {
		if strings.Contains(lines.Text(), `"event":"`+event+`"`) {
			return
		}
	}
	t.Fatalf("the log ended without %s", event)
}

// gatewaySettings writes settings with free addresses and a store that isn't there.
func gatewaySettings(t *testing.T) string {
	ports := new(devfleet.Ports)
	t.Cleanup(ports.Close)
	var text strings.Builder
	text.WriteString("router: {name: r}\nlisten:\n")
	for _, face := range []string{"callers", "readiness", "peers", "entries"} {
		fmt.Fprintf(&text, "  %s: %s\n", face, take(t, ports))
	}
	fmt.Fprintf(&text, "store: {addr: \"%s\"}\n", take(t, ports))
	file := filepath.Join(t.TempDir(), "settings.yaml")
	require.NoError(t, os.WriteFile(file, []byte(text.String()), 0o600))
	return file
}

func take(t *testing.T, ports *devfleet.Ports) string {
	t.Helper()
	addr, err := ports.Take()
	require.NoError(t, err)
	return addr
}
