package platform

import (
	"net/http"
	"strconv"
	"time"

	"github.com/flamingowind/flamingowind/pkg/platform"
	"github.com/flamingowind/flamingowind/pkg/standin/reply"
)

func (s *Server) getObject(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	admitted := s.admitRead(s.faults.ObjectsDown)
	data, exists := s.objects[r.URL.Query().Get("key")]
	s.mu.Unlock()
	switch {
	case !admitted:
		refuse(w)
	case !exists:
		reply.Error(w, http.StatusNotFound, "no such object")
	default:
		w.Header().Set("Content-Type", "application/octet-stream")
		w.Header().Set("Content-Length", strconv.Itoa(len(data)))
		_, _ = w.Write(data) // a caller that went away is no fault here
	}
}

func (s *Server) putObject(w http.ResponseWriter, r *http.Request) {
	data, err := reply.Body(w, r)
	if err != nil {
		reply.Error(w, http.StatusBadRequest, err.Error())
		return
	}
	if !s.storeObject(r.URL.Query().Get("key"), data) {
		refuse(w)
		return
	}
	reply.JSON(w, http.StatusOK, struct{}{})
}

func (s *Server) storeObject(key string, data []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.admitWrite(s.faults.ObjectsDown) {
		return false
	}
	s.stats.Writes++
	s.objects[key] = data
	return true
}

func (s *Server) getHosts(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	admitted := s.admitRead(s.faults.HostsDown)
	list := s.hosts.shown(time.Now(), s.faults.hostsLag())
	s.mu.Unlock()
	if !admitted {
		refuse(w)
		return
	}
	reply.JSON(w, http.StatusOK, list)
}

func (s *Server) putHosts(w http.ResponseWriter, r *http.Request) {
	var list platform.HostList
	if !reply.Decode(w, r, &list) {
		return
	}
	s.mu.Lock()
	list = s.hosts.set(list, time.Now())
	s.mu.Unlock()
	reply.JSON(w, http.StatusOK, list)
}

func (s *Server) openWeights(w http.ResponseWriter, _ *http.Request) {
	s.holdWeights()
	if !s.allowWeights() {
		reply.Error(w, http.StatusTooManyRequests, "rate limit of the weight store")
		return
	}
	reply.JSON(w, http.StatusOK, struct{}{})
}

// holdWeights returns when no switch holds the opening any more.
func (s *Server) holdWeights() {
	for counted := false; ; counted = true {
		s.mu.Lock()
		held, changed := s.faults.HoldWeights, s.faultsSet
		if held && !counted {
			s.stats.WeightsHeld++
		}
		s.mu.Unlock()
		if !held {
			return
		}
		<-changed
	}
}

func (s *Server) allowWeights() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.limits.weights.AllowN(time.Now(), 1) {
		s.stats.Refusals++
		s.stats.WeightRefusals++
		return false
	}
	s.stats.WeightOpens++
	return true
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !reply.DecodeStrict(w, r, &f) {
		return
	}
	s.SetFaults(f)
	reply.JSON(w, http.StatusOK, f)
}

func (s *Server) getFaults(w http.ResponseWriter, _ *http.Request) {
	reply.JSON(w, http.StatusOK, s.currentFaults())
}

func (s *Server) getStats(w http.ResponseWriter, _ *http.Request) {
	reply.JSON(w, http.StatusOK, s.Stats())
}
