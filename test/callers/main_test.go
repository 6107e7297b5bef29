// Package callers_test proves what callers are promised, with real processes.
package callers_test

import (
	"os"
	"testing"

	"github.com/flamingowind/flamingowind/internal/failtest"
)

func TestMain(m *testing.M) { os.Exit(failtest.Main(m)) }
