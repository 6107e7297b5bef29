// Package starting_test proves what a router's process does with signals while it starts.
package starting_test

import (
	"os"
	"testing"

	"github.com/flamingowind/flamingowind/internal/failtest"
)

// routers are the programs that serve callers.
var routers = []string{"flamingowindd", "flamingowind-gateway"}

func TestMain(m *testing.M) { os.Exit(failtest.Main(m)) }
