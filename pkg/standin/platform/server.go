// Package platform is a stand-in for the operators' platform: table, object store,
// host list and weight store in memory, with failures that can be switched on.
package platform

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/flamingowind/flamingowind/pkg/standin/reply"
)

// lossSeed makes the choice of lost answers the same in each run.
const lossSeed = 7

// Server is the stand-in's state.
type Server struct {
	mu     sync.Mutex
	faults Faults
	// faultsSet is closed when the faults are replaced.
	faultsSet chan struct{}
	limits    limits
	stats     Stats
	rows      *rows
	objects   map[string][]byte
	hosts     hostHistory
	random    *rand.Rand
}

// New returns an empty platform without failures.
func New() *Server {
	return &Server{
		limits:    newLimits(Faults{}),
		rows:      newRows(),
		objects:   make(map[string][]byte),
		faultsSet: make(chan struct{}),
		random:    rand.New(rand.NewPCG(lossSeed, lossSeed)),
	}
}

// Handler returns the HTTP face described in docs/DESIGN.md.
func (s *Server) Handler() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/table/row", s.getRow).Methods(http.MethodGet)
	m.HandleFunc("/table/rows", s.listRows).Methods(http.MethodGet)
	m.HandleFunc("/table/txn", s.commit).Methods(http.MethodPost)
	m.HandleFunc("/objects", s.getObject).Methods(http.MethodGet)
	m.HandleFunc("/objects", s.putObject).Methods(http.MethodPut)
	m.HandleFunc("/hosts", s.getHosts).Methods(http.MethodGet)
	m.HandleFunc("/weights/open", s.openWeights).Methods(http.MethodPost)
	m.HandleFunc("/admin/hosts", s.putHosts).Methods(http.MethodPut)
	m.HandleFunc("/admin/faults", s.putFaults).Methods(http.MethodPut)
	m.HandleFunc("/admin/faults", s.getFaults).Methods(http.MethodGet)
	m.HandleFunc("/admin/stats", s.getStats).Methods(http.MethodGet)
	m.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { reply.JSON(w, http.StatusOK, "ok") })
	return m
}

// SetFaults replaces the failures that are switched on.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	close(s.faultsSet)
	s.faultsSet = make(chan struct{})
	s.limits = newLimits(f)
}

// Stats returns the counts so far.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

func (s *Server) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// admitRead reports whether a read may go on, and counts it. Called with mu held.
func (s *Server) admitRead(down bool) bool {
	if down || !s.limits.reads.AllowN(time.Now(), 1) {
		s.stats.Refusals++
		return false
	}
	s.stats.Reads++
	return true
}

// admitWrite reports whether a write may go on. Called with mu held.
func (s *Server) admitWrite(down bool) bool {
	if down || !s.limits.writes.AllowN(time.Now(), 1) {
		s.stats.Refusals++
		return false
	}
	return true
}

func refuse(w http.ResponseWriter) {
	reply.Error(w, http.StatusServiceUnavailable, "refused before anything was done")
}
