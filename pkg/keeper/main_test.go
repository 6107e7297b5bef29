package keeper

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, so that every run gives the same result;
// -rapid.seed sets another one.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		if err := f.Value.Set("20261202"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
