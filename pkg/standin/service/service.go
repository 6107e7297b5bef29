// Package service is a stand-in for a plain service: each call runs for a while and
// is answered with its own body. Failures can be switched on.
package service

import (
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/flamingowind/flamingowind/pkg/standin/journal"
	"github.com/flamingowind/flamingowind/pkg/standin/reply"
)

// Service is one instance of a plain service.
type Service struct {
	options Options
	journal journal.Journal

	mu        sync.Mutex
	faults    Faults
	calls     map[*call]struct{}
	downUntil time.Time
}

// New returns an idle service.
func New(options Options) *Service {
	if options.Call <= 0 {
		options.Call = DefaultCall
	}
	return &Service{options: options, calls: make(map[*call]struct{})}
}

// SetFaults replaces the failures that are switched on.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Journal returns all calls that ran.
func (s *Service) Journal() journal.Report { return s.journal.Report() }

// Handler returns the HTTP face: the service itself on any method and path, and its
// test switches under /admin/.
func (s *Service) Handler() http.Handler {
	m := mux.NewRouter().SkipClean(true)
	m.HandleFunc("/admin/faults", s.putFaults).Methods(http.MethodPut)
	m.HandleFunc("/admin/faults", s.getFaults).Methods(http.MethodGet)
	m.HandleFunc("/admin/journal", s.getJournal).Methods(http.MethodGet)
	m.HandleFunc("/healthz", s.getHealth).Methods(http.MethodGet)
	m.PathPrefix("/").HandlerFunc(s.serve)
	return m
}

func (s *Service) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *Service) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.downUntil)
}

// start records a call that begins to run; it reports false when too many do.
func (s *Service) start(c *call) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.calls) >= maxCalls {
		return false
	}
	s.calls[c] = struct{}{}
	c.entry = s.journal.Start(c.record)
	return true
}

// finish ends a call. It reports false when the service has crashed meanwhile.
func (s *Service) finish(c *call) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, runs := s.calls[c]; !runs {
		return false
	}
	delete(s.calls, c)
	s.journal.End(c.entry, journal.Finished, 0, time.Now())
	return true
}

// crash ends all running calls and takes the service away for a while.
func (s *Service) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.journal.Crash(now)
	for c := range s.calls {
		s.journal.End(c.entry, journal.Crashed, 0, now)
		close(c.crashed)
	}
	clear(s.calls)
	s.downUntil = now.Add(s.faults.revive())
	if s.options.OnCrash != nil {
		s.options.OnCrash(s.faults.revive())
	}
}

func (s *Service) getHealth(w http.ResponseWriter, _ *http.Request) {
	if s.isDown() {
		reply.BreakOff()
	}
	reply.JSON(w, http.StatusOK, struct{}{})
}

func (s *Service) getJournal(w http.ResponseWriter, _ *http.Request) {
	reply.JSON(w, http.StatusOK, s.Journal())
}

func (s *Service) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !reply.DecodeStrict(w, r, &f) {
		return
	}
	s.SetFaults(f)
	reply.JSON(w, http.StatusOK, f)
}

func (s *Service) getFaults(w http.ResponseWriter, _ *http.Request) {
	reply.JSON(w, http.StatusOK, s.currentFaults())
}
