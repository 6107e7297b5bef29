package ctl_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/config"
	"github.com/flamingowind/flamingowind/pkg/ctl"
	"github.com/flamingowind/flamingowind/pkg/operator"
	"github.com/flamingowind/flamingowind/pkg/platform/platformtest"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// runLimit ends a command that waits for what never comes; the test then fails on its output.
const runLimit = 20 * time.Second

// site is one router's API over a fake table, and a way to run the command on it.
type site struct {
	t      *testing.T
	table  *platformtest.Table
	env    map[string]string
	server *httptest.Server
	// intercept, when set, sees requests first and says whether it answered.
	intercept func(w http.ResponseWriter, r *http.Request) bool
	drained   int
}

func (s *site) Members() []wire.Member { return nil }

func newSite(t *testing.T) *site {
	s := &site{t: t, table: new(platformtest.Table)}
	file := filepath.Join(t.TempDir(), "token")
	require.NoError(t, os.WriteFile(file, []byte("secret\n"), 0o600))
	tokens, err := operator.NewTokens(file)
	require.NoError(t, err)
	api := operator.New(operator.Options{
		Router: "router-1", Store: config.NewStore(s.table, config.StoreOptions{}), Fleet: s, Tokens: tokens,
		Live:  config.NewLive(config.LiveOptions{ConfirmWithin: time.Hour}),
		Drain: func() { s.drained++ }, Log: &log.Logger{Handler: discard.New()},
	}).Handler()
	s.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.intercept == nil || !s.intercept(w, r) {
			api.ServeHTTP(w, r)
		}
	}))
	t.Cleanup(s.server.Close)
	s.env = map[string]string{"FLAMINGOWIND_SERVER": s.server.URL, "FLAMINGOWIND_TOKEN_FILE": file}
	return s
}

// run gives what the command printed, with its exit code as the last line.
func (s *site) run(args ...string) string {
	var out, errOut bytes.Buffer
	ctx, cancel := context.WithTimeout(s.t.Context(), runLimit)
	defer cancel()
	code := ctl.Run(ctx, args, &out, &errOut, func(k string) string { return s.env[k] })
	text := "$ flamingowindctl " + strings.Join(args, " ") + "\n" + out.String()
	if errOut.Len() > 0 {
		text += "--- stderr\n" + errOut.String()
	}
	return text + "--- exit " + strconv.Itoa(code) + "\n"
}

func (s *site) golden(name string, runs ...string) {
	s.t.Helper()
	text := strings.Join(runs, "\n")
	text = strings.ReplaceAll(text, strings.TrimPrefix(s.server.URL, "http://"), "SERVER")
	goldie.New(s.t, goldie.WithFixtureDir("testdata/golden")).Assert(s.t, name, []byte(text))
}

const declarations = "testdata/declarations"

func TestApplyTwiceChangesNothingTheSecondTime(t *testing.T) {
	s := newSite(t)
	s.golden("apply",
		s.run("diff", "-f", declarations),
		s.run("apply", "-f", declarations, "-dry-run"),
		s.run("apply", "-f", declarations),
		s.run("apply", "-f", declarations),
		s.run("diff", "-f", declarations),
		s.run("apply", "-f", declarations+"/broker.yml", "-prune", "-dry-run"),
	)
}

func TestGetDeleteWatch(t *testing.T) {
	s := newSite(t)
	s.run("apply", "-f", declarations)
	s.golden("get",
		s.run("get", "organisations"),
		s.run("get", "-o", "yaml", "upstream", "engine-1"),
		s.run("get", "-o", "json", "Pool", "broker"),
		s.run("get", "pool", "none"),
		s.run("get", "things"),
		s.run("delete", "-version", "9", "organisation", "south"),
		s.run("delete", "organisation", "south"),
		s.run("delete", "organisation", "south"),
		s.run("delete", "pool", "broker"),
		s.run("watch", "-from", "0", "-until", "2"),
		s.run("watch", "-from", "99"),
	)
}

func TestFaultsNameFileAndLine(t *testing.T) {
	s := newSite(t)
	s.golden("faults",
		s.run("apply", "-f", "testdata/faulty"),
		s.run("apply", "-f", "testdata/dangling"),
		s.run("apply"),
		s.run("get", "-o", "xml", "pools"),
	)
}

// What get prints as YAML is meant to go into version control and back.
func TestGetYAMLIsAppliedUnchanged(t *testing.T) {
	s := newSite(t)
	s.run("apply", "-f", declarations)
	dir := t.TempDir()
	for _, kind := range []string{"organisations", "pools", "upstreams", "routes"} {
		text := strings.TrimPrefix(s.run("get", "-o", "yaml", kind), "$ flamingowindctl get -o yaml "+kind+"\n")
		text, _, _ = strings.Cut(text, "--- exit")
		require.NoError(t, os.WriteFile(filepath.Join(dir, kind+".yaml"), []byte(text), 0o600))
	}
	require.Contains(t, s.run("apply", "-f", dir, "-prune"), "nothing to change at version 1")
}

// Another operator changes a resource between the printed diff and the write. The
// write must be refused with the state that won: it was agreed to on another one.
func TestApplyRefusesWhatWasNotShown(t *testing.T) {
	s := newSite(t)
	s.run("apply", "-f", declarations)
	dir := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(dir, "a.yaml"), []byte("kind: Organisation\nname: south\nweight: 5\n"), 0o600))
	applies := 0
	s.intercept = func(_ http.ResponseWriter, r *http.Request) bool {
		if applies++; applies == 2 {
			s.intercept = nil
			s.run("delete", "organisation", "south")
			s.run("apply", "-f", declarations)
		}
		return false
	}
	s.golden("conflict", strings.ReplaceAll(s.run("apply", "-f", dir), dir, "DIR"))
}

// The connection breaks after the router accepted the change. The operator must be
// told that it may have been accepted, and the same operation tried again is found.
func TestLostAnswerIsUndecided(t *testing.T) {
	s := newSite(t)
	applies := 0
	s.intercept = func(w http.ResponseWriter, r *http.Request) bool {
		if applies++; applies != 2 {
			return false
		}
		s.intercept = nil
		s.server.Config.Handler.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	}
	out := s.run("apply", "-f", declarations)
	require.Contains(t, out, "--- exit 6")
	_, id, found := strings.Cut(out, "-op ")
	require.True(t, found, out)
	id = id[:36]
	again := s.run("apply", "-f", declarations, "-op", id)
	require.Contains(t, again, "was accepted as version 1")
	require.Contains(t, again, "--- exit 0")
}

func TestOutageIsNotAccepted(t *testing.T) {
	s := newSite(t)
	s.table.SetDown(true)
	closed := httptest.NewServer(nil)
	closed.Close()
	out := s.run("apply", "-f", declarations)
	s.env["FLAMINGOWIND_SERVER"] = closed.URL
	unreachable := s.run("status")
	require.Contains(t, unreachable, "no router answers")
	require.Contains(t, unreachable, "--- exit 5")
	s.golden("outage", out)
}

// A router of the list is down. The command goes on to the next.
func TestNextRouterIsTried(t *testing.T) {
	s := newSite(t)
	closed := httptest.NewServer(nil)
	closed.Close()
	s.env["FLAMINGOWIND_SERVER"] = closed.URL + "," + s.server.URL
	require.Contains(t, s.run("apply", "-f", declarations), "accepted as version 1")
}

func TestStatusForms(t *testing.T) {
	s := newSite(t)
	at := time.Date(2030, 1, 2, 3, 4, 5, 0, time.UTC)
	status := operator.Status{
		Router: "router-1", InForce: 7, Since: at, Basis: config.BasisConfirmed, ConfirmedMs: 120, Newest: 7, TableReadable: true,
		Routers: []operator.RouterStatus{
			{ID: "router-1", Zone: "klang-a", State: "alive", Version: 7, Since: at, Confirmed: true},
			{ID: "router-2", Zone: "klang-b", State: "suspect", Version: 6, Since: at.Add(-time.Hour)},
		},
		WaitingFor: []string{"router-2"},
	}
	s.intercept = func(w http.ResponseWriter, _ *http.Request) bool {
		return json.NewEncoder(w).Encode(status) == nil
	}
	s.golden("status", s.run("status"), s.run("status", "-o", "json"), s.run("status", "-o", "yaml"))
}

func TestEntriesDrainVersionHelp(t *testing.T) {
	s := newSite(t)
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		require.Equal(t, "/v1/entries?model=m&org=north", r.URL.String())
		_, _ = w.Write([]byte(`{"entries":["10.0.0.7:8080","10.0.0.8:8080"],"keepSeconds":30}`))
	}))
	t.Cleanup(entry.Close)
	entries := s.run("entries", "-entry", entry.URL, "-org", "north", "-model", "m")
	s.golden("others", strings.ReplaceAll(entries, entry.URL, "ENTRY"),
		s.run("drain", "router-1"), s.run("drain", "router-2"), s.run("version"), s.run("-h"), s.run("help", "apply"))
	require.Equal(t, 1, s.drained)
}
