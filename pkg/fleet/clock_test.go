package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a question that waited behind a cut and makes an old list a current one as the cut
// heals.
func TestAQuestionThatWaitedTellsOfThePast(t *testing.T) {
	a, b := newRouter(t, "a", []byte("secret")), newRouter(t, "b", []byte("secret"))
	answer, _ := b.fleet.describe(false)
	a.fleet.incoming(&answer, time.Now())
	question := a.fleet.question(a.fleet.peers[b.fleet.self.Peers], false)
	require.Equal(t, answer.Clock, question.Echo)

	const waited = 10 * time.Second
	b.fleet.born = b.fleet.born.Add(-waited) // as long after its report as if the question had waited
	require.NoError(t, a.duty.post(t.Context(), b.fleet.self.Peers, Path, question, new(Report), maxMessage))
	require.GreaterOrEqual(t, time.Since(b.asOf), waited)

	read := b.fleet.born.Add(time.Minute)
	require.Equal(t, b.fleet.born.Add(time.Duration(answer.Clock)*time.Millisecond), b.fleet.madeAfter(&question, read))
	question.HaveOf++
	require.Equal(t, read.Add(-mostUnderWay), b.fleet.madeAfter(&question, read), "an echo of another life says nothing")
	question.HaveOf--
	question.Echo = time.Hour.Milliseconds()
	require.Equal(t, read.Add(-mostUnderWay), b.fleet.madeAfter(&question, read), "nor does one of the future")
}

// Guards against clocks of a peer's earlier life that its later one is held to.
func TestClocksBelongToALife(t *testing.T) {
	a, b := newRouter(t, "a", []byte("secret")), newRouter(t, "b", []byte("secret"))
	old, _ := b.fleet.describe(false)
	old.Clock = time.Hour.Milliseconds()
	a.fleet.incoming(&old, time.Now())
	again, _ := b.fleet.describe(false)
	again.From.Started++
	a.fleet.incoming(&again, time.Now())
	require.Equal(t, again.Clock, a.fleet.question(a.fleet.peers[b.fleet.self.Peers], false).Echo)
}
