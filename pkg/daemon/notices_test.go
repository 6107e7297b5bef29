package daemon

import (
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/apex/log/handlers/memory"
	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// Guards against grants that are used at an upstream which has said in a response that it leaves, or that it wants no
// requests for a time, and against one that is out of use for ever.
func TestUpstreamsThatSaidSoGetNothing(t *testing.T) {
	n, now := newNotices(&log.Logger{Handler: discard.New()}), time.Unix(100, 0)
	require.True(t, n.usable("a", now))
	n.observe("a", upstream.Notice{Leaving: true}, now)
	n.observe("b", upstream.Notice{Backoff: 3 * time.Second}, now)
	n.observe("b", upstream.Notice{Backoff: time.Second}, now.Add(time.Second))
	n.observe("c", upstream.Notice{Fault: "x"}, now)
	for after, want := range map[time.Duration][3]bool{
		time.Millisecond:          {false, false, true},
		3*time.Second - 1:         {false, false, true},
		3 * time.Second:           {false, true, true},
		leavingHold - time.Second: {false, true, true},
		leavingHold:               {true, true, true},
	} {
		for i, name := range []string{"a", "b", "c"} {
			require.Equal(t, want[i], n.usable(name, now.Add(after)), "%s after %v", name, after)
		}
	}
}

// Guards against a log that an upstream fills with each of its responses.
func TestAnUnreadableNoticeIsLoggedOnce(t *testing.T) {
	lines := memory.New()
	n := newNotices(&log.Logger{Handler: lines, Level: log.InfoLevel})
	for _, fault := range []string{"x", "x", "x", "y", "y"} {
		n.observe("a", upstream.Notice{Fault: fault}, time.Unix(100, 0))
	}
	n.observe("b", upstream.Notice{Fault: "x"}, time.Unix(100, 0))
	require.Len(t, lines.Entries, 3)
}
