package daemon

import (
	"slices"
	"testing"
	"time"

	"github.com/flamingowind/flamingowind/pkg/member"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

func viewOf(id wire.RouterID, start time.Time) *member.View {
	return member.NewRoster(member.Options{Self: wire.Member{ID: id}, Start: start}).View()
}

// A keeper restarts within one heartbeat. Its cells stay with it, so nothing but its
// new life tells that it forgot every claim.
func TestARestartIsNoticedOnce(t *testing.T) {
	l := lives{}
	if again := l.restarted(viewOf("r2", time.Unix(100, 0))); len(again) != 0 {
		t.Fatalf("a first sight is no restart: %v", again)
	}
	if again := l.restarted(viewOf("r2", time.Unix(200, 0))); !slices.Equal(again, []wire.RouterID{"r2"}) {
		t.Fatalf("got %v", again)
	}
	if again := l.restarted(viewOf("r2", time.Unix(200, 0))); len(again) != 0 {
		t.Fatalf("told twice: %v", again)
	}
}
