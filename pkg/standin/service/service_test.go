package service

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/standin/journal"
)

func send(s *Service, body string) (w *httptest.ResponseRecorder, broken bool) {
	r := httptest.NewRequest(http.MethodPost, "/saves/7", strings.NewReader(body))
	r.Header.Set(attemptHeader, "a1")
	r.Header.Set(keyHeader, "key-1")
	r.Header.Set(markerHeader, "r1")
	w = httptest.NewRecorder()
	defer func() { broken = recover() == http.ErrAbortHandler }()
	s.Handler().ServeHTTP(w, r)
	return w, false
}

func TestCallIsEchoedAndJournalled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{Name: "s1"})
		w, broken := send(s, "saved")
		require.False(t, broken)
		require.Equal(t, "saved", w.Body.String())
		require.Equal(t, "a1", w.Header().Get(attemptHeader))
		run := s.Journal().Attempts[0]
		require.Equal(t, "key-1", run.Key)
		require.Equal(t, "r1", run.Marker)
		require.Equal(t, journal.Finished, run.State)
		require.Equal(t, DefaultCall, run.Ended.Sub(run.Started))
	})
}

// A quota confirmation runs and its answer is lost. The journal must show the run,
// so that a second one would be seen as doubled.
func TestLostAnswerIsInTheJournal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{})
		s.SetFaults(Faults{LoseAnswers: true})
		_, broken := send(s, "confirm")
		require.True(t, broken)
		require.Equal(t, journal.Finished, s.Journal().Attempts[0].State)
	})
}

// One call crashes the service while another one runs. Both callers see a broken
// connection, and the journal keeps both as crashed.
func TestCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{})
		s.SetFaults(Faults{CrashOn: "poison", ReviveMs: 50})
		innocent := make(chan bool, 1)
		go func() {
			<-time.After(time.Millisecond)
			_, broken := send(s, "fine")
			innocent <- broken
		}()
		_, broken := send(s, "poison")
		require.True(t, broken)
		require.True(t, <-innocent)
		for _, run := range s.Journal().Attempts {
			require.Equal(t, journal.Crashed, run.State)
		}
		require.Len(t, s.Journal().Crashes, 1)
		_, broken = send(s, "fine")
		require.True(t, broken, "the service is away")
		<-time.After(50 * time.Millisecond)
		_, broken = send(s, "fine")
		require.False(t, broken)
	})
}
