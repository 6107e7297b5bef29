package failtest

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/juju/errors"
)

// binEnv names the directory that holds the programs; without it Main builds them.
const binEnv = "FLAMINGOWIND_BIN"

// programs are the import paths of what fleets consist of.
var programs = []string{
	"github.com/flamingowind/flamingowind/cmd/flamingowindd",
	"github.com/flamingowind/flamingowind/cmd/flamingowind-gateway",
	"github.com/flamingowind/flamingowind/cmd/flamingowind-standin",
}

// binDir is where Start finds the programs; Main sets it.
var binDir string

// Program is the file of the program with that name.
func Program(name string) string { return filepath.Join(binDir, name) }

// Main runs the tests of a package with the programs at hand and returns its exit
// status; TestMain passes it on.
func Main(m *testing.M) int {
	if binDir = os.Getenv(binEnv); binDir != "" {
		return m.Run()
	}
	dir, err := build()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binDir = dir
	return m.Run()
}

// build compiles the programs into a temporary directory.
func build() (string, error) {
	dir, err := os.MkdirTemp("", "failtest")
	if err != nil {
		return "", errors.Annotate(err, "directory for the programs")
	}
	args := append([]string{"build", "-o", dir}, programs...)
	if out, err := exec.Command("go", args...).CombinedOutput(); err != nil {
		_ = os.RemoveAll(dir)
		return "", errors.Annotatef(err, "build the programs: %s", out)
	}
	return dir, nil
}
