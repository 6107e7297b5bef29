package clients_test

import (
	"os"
	"testing"

	"github.com/flamingowind/flamingowind/internal/fleettest"
)

func TestMain(m *testing.M) { os.Exit(fleettest.Main(m)) }
