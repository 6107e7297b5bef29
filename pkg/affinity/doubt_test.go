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
