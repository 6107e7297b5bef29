package affinity

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against refused streams of which no log line says why their version isn't known.
func TestDoubtNamesItsReason(t *testing.T) {
	for want, arrange := range map[Doubt]func(f *fixture){
		NoDoubt:    func(f *fixture) { f.list("1") },
		OldList:    func(f *fixture) { f.list("1"); f.view.age, f.view.peer.Complete = time.Minute, false },
		OldBuild:   func(f *fixture) { f.list("1"); f.view.peer.Current = false },
		ShortWatch: func(f *fixture) { f.list("1"); f.history.sinceFounding = false },
		NoVersion:  func(f *fixture) { f.list() },
		Several:    func(f *fixture) { f.list("1", "2") },
	} {
		t.Run(string(want), func(t *testing.T) {
			f := newFixture()
			arrange(f)
			require.Equal(t, want, f.Doubt("s", f.now))
		})
	}
}

// Guards against a stream that goes on at a version which came while the router knew nothing: it started with a list from
// before, took over what a peer had watched, and was then cut off.
func TestTimeBeforeTheFirstCurrentListIsNotTakenForWatched(t *testing.T) {
	f := newFixture()
	f.history.sinceFounding, f.startedAt, f.view.age = false, f.now, time.Second
	f.list("1")
	f.MergeStatement(Statement{SinceFounding: true}, f.now, f.now)
	f.outage(openAfter+2*time.Second, false)
	f.view.age = 0
	require.Equal(t, unknown, f.find("r"))
}
