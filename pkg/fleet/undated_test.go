package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a router that stood still and takes a list from before for a current one, as a router that
// started meanwhile, or just before, had reported it: that one can echo nothing yet, and its request waited unread.
func TestARequestThatCantBeDatedMakesNoListCurrent(t *testing.T) {
	for name, change := range map[string]func(req *Report, f *Fleet){
		"its sender has heard nothing of the receiver": func(req *Report, _ *Fleet) { req.Echo = 0 },
		"it echoes an earlier life of the receiver":    func(req *Report, _ *Fleet) { req.AckLife++ },
		"its echo is from the future":                  func(req *Report, f *Fleet) { req.Echo = f.uptimeMs(time.Now()) + 10_000 },
	} {
		t.Run(name, func(t *testing.T) {
			sender, stood := newRouter(t, "a", secret), newRouter(t, "b", secret)
			report, _ := stood.fleet.describeSelf(false)
			sender.fleet.handleReport(&report, time.Now())
			req := sender.fleet.request(sender.fleet.peers[stood.fleet.self.Peers], true)
			change(&req, stood.fleet)
			require.NoError(t, sender.exchanger.post(t.Context(), stood.fleet.self.Peers, Path, req, new(Report), maxMessageBytes))
			require.True(t, stood.peerListAsOf.IsZero(), "list current as of %v", stood.peerListAsOf)
			view := stood.fleet.PeerView(time.Now())
			require.True(t, view.HeardAt.IsZero(), "heard of at %v", view.HeardAt)
			require.Len(t, stood.statements, 1)
			require.Zero(t, stood.statements[0].WatchedMs, "it may be old")
			require.True(t, stood.fleet.peers[sender.fleet.self.Peers].alive(time.Now()), "it is alive for all else")
		})
	}
}

// Guards against a report that is dated by what arrived after its contents were taken: its sender stood still in
// between.
func TestAReportEchoesWhatWasHeardBeforeItWasMade(t *testing.T) {
	a, b := newRouter(t, "a", secret), newRouter(t, "b", secret)
	report, _ := b.fleet.describeSelf(false)
	a.fleet.handleReport(&report, time.Now())
	a.describing = func() {
		later := report
		later.Clock += 5000
		a.fleet.handleReport(&later, time.Now())
	}
	req := a.fleet.request(a.fleet.peers[b.fleet.self.Peers], false)
	require.Equal(t, report.Clock, req.Echo)
}
