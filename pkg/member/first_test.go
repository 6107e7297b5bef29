package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/flamingowind/flamingowind/pkg/platform"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// A router starts alone and asks who of the fleet does a duty for all. The hash
// library's Remove panicked on a list of one name, and the router ended at its start.
func TestFirstOfAFleetOfOne(t *testing.T) {
	v := NewRoster(Options{Self: wire.Member{ID: "r1"}, Start: time.Unix(1, 0)}).View()
	if got := v.First("sweeper", 3); len(got) != 1 || got[0] != "r1" {
		t.Fatalf("got %v", got)
	}
}

// The first of the list must be the one that Keeper names, and none may come twice.
func TestFirstAgreesWithKeeper(t *testing.T) {
	v := &View{hosts: map[wire.RouterID]platform.Host{}}
	for i := range 9 {
		v.Members = append(v.Members, wire.Member{ID: wire.RouterID(fmt.Sprintf("r%d", i))})
	}
	v.keepers = NewRoster(Options{Self: v.Members[0], Start: time.Unix(1, 0)}).View().keepers
	for _, m := range v.Members[1:] {
		v.keepers.Add(string(m.ID))
	}
	seen := map[wire.RouterID]bool{}
	for _, id := range v.First("models/3", 9) {
		if len(seen) == 0 && id != v.Keeper("models/3") {
			t.Fatalf("first is %s, keeper %s", id, v.Keeper("models/3"))
		}
		seen[id] = true
	}
	if len(seen) != 9 {
		t.Fatalf("%d different routers of 9", len(seen))
	}
}
