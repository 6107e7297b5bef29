package devfleet

import (
	"context"
	"os"
	"testing"
	"time"
)

// BinEnv names the environment variable with the directory of the built programs.
const BinEnv = "FLAMINGOWIND_BIN"

// Bounds of a test's fleet.
const (
	testStart = 60 * time.Second
	testStop  = 30 * time.Second
)

// StartForTest starts a fleet with the programs in BinEnv and stops it when the test
// ends. adjust changes the demo's plan; nil keeps it. The logs of a failed test stay,
// and their place is shown.
func StartForTest(t testing.TB, adjust func(*Plan)) *Fleet {
	t.Helper()
	bin := os.Getenv(BinEnv)
	if bin == "" {
		t.Fatalf("%s must name the directory of the built programs", BinEnv)
	}
	dir, err := os.MkdirTemp("", "devfleet-test-")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { keepLogs(t, dir) })
	plan := DemoPlan(bin, dir)
	if adjust != nil {
		adjust(&plan)
	}
	ctx, cancel := context.WithTimeout(t.Context(), testStart)
	defer cancel()
	fleet, err := Start(ctx, plan)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), testStop)
		defer cancel()
		fleet.Stop(ctx)
	})
	return fleet
}

func keepLogs(t testing.TB, dir string) {
	if t.Failed() {
		t.Logf("logs: %s", dir)
		return
	}
	_ = os.RemoveAll(dir)
}
