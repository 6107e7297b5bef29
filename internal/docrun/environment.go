package docrun

import (
	"os"
	"path/filepath"
	"strings"

	"github.com/flamingowind/flamingowind/internal/devfleet"
)

// Environment fills in what the pages leave open with the addresses and secrets of a
// fleet: the first router, the first organisation.
func Environment(f *devfleet.Fleet) []string {
	ready := f.Current()
	var operators []string
	for _, r := range ready.Routers {
		operators = append(operators, r.Operator)
	}
	return []string{
		"PATH=" + f.Plan.BinDir + string(os.PathListSeparator) + os.Getenv("PATH"),
		"LC_ALL=C.UTF-8",
		"ENTRY=" + ready.Routers[0].Entry,
		"METRICS=" + ready.Routers[0].Metrics,
		"PLATFORM=" + ready.Platform,
		"KEY=" + ready.Organisations[0].Key,
		"FLAMINGOWIND_SERVER=" + strings.Join(operators, ","),
		"FLAMINGOWIND_TOKEN_FILE=" + filepath.Join(ready.Dir, "operator.token"),
	}
}
