package platform

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/platform"
)

// call returns the status of a call, 0 when the connection was broken off.
func call(s *Server, method, path, body string) (status int, answer string) {
	w := httptest.NewRecorder()
	defer func() {
		if recover() == http.ErrAbortHandler {
			status = 0
		}
	}()
	s.Handler().ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	return w.Code, w.Body.String()
}

func statusOf(s *Server, method, path, body string) int {
	status, _ := call(s, method, path, body)
	return status
}

const (
	create = `{"guards":[{"key":"k","version":0}],"puts":[{"key":"k","value":"dg=="}]}`
	remove = `{"puts":[{"key":"k","delete":true}]}`
)

// A progress save is recorded and the table's answer is lost on the way. The user's
// router must be able to find its own write when it reads back.
func TestLostAnswerTakesEffect(t *testing.T) {
	s := New()
	s.SetFaults(Faults{TableLoseAnswers: 1})
	require.Zero(t, statusOf(s, http.MethodPost, "/table/txn", create))
	require.Equal(t, http.StatusOK, statusOf(s, http.MethodGet, "/table/row?key=k", ""))
	require.Equal(t, http.StatusConflict, statusOf(s, http.MethodPost, "/table/txn", create))
	require.Equal(t, Stats{Reads: 1, Writes: 1, Conflicts: 1, LostAnswers: 1}, s.Stats())
}

// An operator reads a row; it is removed and made anew by another one. With versions
// that start again at 1 the first operator would overwrite what it never saw.
func TestVersionOfARowMadeAnewIsHigher(t *testing.T) {
	table := newRows()
	put := platform.Txn{Puts: []platform.Put{{Key: "k"}}}
	require.True(t, table.commit(put))
	seen := table.byKey["k"].Version
	require.True(t, table.commit(platform.Txn{Puts: []platform.Put{{Key: "k", Delete: true}}}))
	require.True(t, table.commit(platform.Txn{Guards: []platform.Guard{{Key: "k"}}, Puts: put.Puts}))
	require.False(t, table.commit(platform.Txn{Guards: []platform.Guard{{Key: "k", Version: seen}}, Puts: put.Puts}))
}

func TestOutageRefusesBeforeAnything(t *testing.T) {
	s := New()
	s.SetFaults(Faults{TableDown: true, ObjectsDown: true, HostsDown: true})
	require.Equal(t, http.StatusServiceUnavailable, statusOf(s, http.MethodPost, "/table/txn", create))
	require.Equal(t, http.StatusServiceUnavailable, statusOf(s, http.MethodGet, "/table/rows?limit=1", ""))
	require.Equal(t, http.StatusServiceUnavailable, statusOf(s, http.MethodPut, "/objects?key=o", "x"))
	require.Equal(t, http.StatusServiceUnavailable, statusOf(s, http.MethodGet, "/hosts", ""))
	s.SetFaults(Faults{})
	require.Equal(t, http.StatusNotFound, statusOf(s, http.MethodGet, "/table/row?key=k", ""))
	require.Equal(t, http.StatusNotFound, statusOf(s, http.MethodGet, "/objects?key=o", ""))
}

func TestRateLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New()
		s.SetFaults(Faults{WritesPerSecond: 10, WeightsPerSecond: 1})
		served := 0
		for range 100 {
			if statusOf(s, http.MethodPost, "/table/txn", remove) == http.StatusOK {
				served++
			}
		}
		require.Equal(t, 2, served, "the burst")
		require.Equal(t, http.StatusOK, statusOf(s, http.MethodPost, "/weights/open?name=m", ""))
		require.Equal(t, http.StatusTooManyRequests, statusOf(s, http.MethodPost, "/weights/open?name=m", ""))
		<-time.After(time.Second)
		require.Equal(t, http.StatusOK, statusOf(s, http.MethodPost, "/weights/open?name=m", ""))
	})
}

func TestHostListLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New()
		s.SetFaults(Faults{HostsLagMs: 1000})
		generation := func() uint64 {
			var list platform.HostList
			_, answer := call(s, http.MethodGet, "/hosts", "")
			require.NoError(t, json.Unmarshal([]byte(answer), &list))
			return list.Generation
		}
		put := func() { require.Equal(t, http.StatusOK, statusOf(s, http.MethodPut, "/admin/hosts", `{"hosts":[]}`)) }
		put()
		<-time.After(time.Minute)
		put()
		require.EqualValues(t, 1, generation())
		<-time.After(time.Second)
		require.EqualValues(t, 2, generation())
	})
}

// The table is slow and a router gives up on its write. The write takes effect later
// all the same: "not written" would have been a lie.
func TestSlowWriteTakesEffectAfterItsCallerLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New()
		s.SetFaults(Faults{TableDelayMs: 1000})
		go call(s, http.MethodPost, "/table/txn", create)
		synctest.Wait()
		require.Zero(t, s.Stats().Writes)
		<-time.After(time.Second)
		synctest.Wait()
		require.EqualValues(t, 1, s.Stats().Writes)
	})
}
