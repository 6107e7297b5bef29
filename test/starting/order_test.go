package starting_test

import (
	"os"
	"os/exec"
	"regexp"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/internal/failtest"
)

// initialised is a line of the runtime's trace: the package and its moment.
var initialised = regexp.MustCompile(`(?m)^init (\S+) @`)

// A router is started again and at once gets SIGHUP, since the operators announce other
// settings to all. It was still initialising packages, nothing took the signal yet, and
// its process ended with 129 and no line. Of 20 starts that were signalled after 2 ms 17
// to 20 ended so. The package that takes the signal must come as soon as it can: next
// after os/signal, and so before nearly all others.
func TestTheSignalIsTakenBeforeOtherPackagesStart(t *testing.T) {
	for _, program := range routers {
		cmd := exec.Command(failtest.Program(program), "help")
		cmd.Env = append(os.Environ(), "GODEBUG=inittrace=1")
		trace, err := cmd.CombinedOutput()
		require.NoError(t, err)
		var order []string
		for _, line := range initialised.FindAllStringSubmatch(string(trace), -1) {
			order = append(order, line[1])
		}
		i := slices.Index(order, "os/signal")
		require.True(t, i >= 0 && i+1 < len(order), "no os/signal in the trace of %s", program)
		require.Equal(t, "github.com/flamingowind/flamingowind/internal/hangup", order[i+1], program)
	}
}
