package fleettest

import (
	"os"
	"os/exec"
	"testing"

	"github.com/juju/errors"
)

// BinEnv names the directory of the built programs.
const BinEnv = "FLAMINGOWIND_BIN"

// binDir holds the programs that Start uses; set by Main.
var binDir string

// Main runs a package's tests against the programs in $FLAMINGOWIND_BIN. When that is
// unset it builds them into a temporary directory first.
func Main(m *testing.M) int {
	binDir = os.Getenv(BinEnv)
	if binDir != "" {
		return m.Run()
	}
	dir, err := os.MkdirTemp("", "fleet-bin-")
	if err == nil {
		defer os.RemoveAll(dir)
		err = build(dir)
	}
	if err != nil {
		os.Stderr.WriteString(err.Error() + "\n")
		return 1
	}
	binDir = dir
	return m.Run()
}

func build(dir string) error {
	cmd := exec.Command("go", "build", "-o", dir+"/", "github.com/flamingowind/flamingowind/cmd/...")
	out, err := cmd.CombinedOutput()
	return errors.Annotatef(err, "build the programs: %s", out)
}
