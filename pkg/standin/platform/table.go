package platform

import (
	"net/http"
	"strconv"
	"time"

	"github.com/flamingowind/flamingowind/pkg/platform"
	"github.com/flamingowind/flamingowind/pkg/standin/reply"
)

type rowList struct {
	Rows []platform.Row `json:"rows"`
}

func (s *Server) getRow(w http.ResponseWriter, r *http.Request) {
	s.delayTable()
	row, admitted := s.readRow(r.URL.Query().Get("key"))
	switch {
	case !admitted:
		refuse(w)
	case row.Version == 0:
		reply.Error(w, http.StatusNotFound, "no such row")
	default:
		reply.JSON(w, http.StatusOK, row)
	}
}

func (s *Server) readRow(key string) (row platform.Row, admitted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.admitRead(s.faults.TableDown) {
		return row, false
	}
	return s.rows.byKey[key], true
}

func (s *Server) listRows(w http.ResponseWriter, r *http.Request) {
	s.delayTable()
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit < 1 {
		reply.Error(w, http.StatusBadRequest, "limit must be a number over 0")
		return
	}
	found, admitted := s.readRows(query.Get("prefix"), query.Get("after"), min(limit, maxList))
	if !admitted {
		refuse(w)
		return
	}
	reply.JSON(w, http.StatusOK, rowList{found})
}

func (s *Server) readRows(prefix, after string, limit int) (found []platform.Row, admitted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.admitRead(s.faults.TableDown) {
		return nil, false
	}
	return s.rows.list(prefix, after, limit), true
}

// outcome is how a transaction ended.
type outcome int

const (
	committed outcome = iota
	conflicted
	refused
	answerLost
)

func (s *Server) commit(w http.ResponseWriter, r *http.Request) {
	var txn platform.Txn
	if !reply.Decode(w, r, &txn) {
		return
	}
	if !hasKeys(txn) {
		reply.Error(w, http.StatusBadRequest, "each guard and each put needs a key")
		return
	}
	s.delayTable()
	switch s.apply(txn) {
	case committed:
		reply.JSON(w, http.StatusOK, struct{}{})
	case conflicted:
		reply.Error(w, http.StatusConflict, "guard failed, nothing written")
	case refused:
		refuse(w)
	case answerLost:
		reply.BreakOff()
	}
}

func hasKeys(txn platform.Txn) bool {
	for _, g := range txn.Guards {
		if g.Key == "" {
			return false
		}
	}
	for _, p := range txn.Puts {
		if p.Key == "" {
			return false
		}
	}
	return true
}

func (s *Server) apply(txn platform.Txn) outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.admitWrite(s.faults.TableDown) {
		return refused
	}
	if !s.rows.commit(txn) {
		s.stats.Conflicts++
		return conflicted
	}
	s.stats.Writes++
	if s.random.Float64() < s.faults.TableLoseAnswers {
		s.stats.LostAnswers++
		return answerLost
	}
	return committed
}

// delayTable waits as the faults say, also when the caller has gone: a slow table
// applies a write that its caller no longer waits for.
func (s *Server) delayTable() {
	if d := s.currentFaults().tableDelay(); d > 0 {
		time.Sleep(d)
	}
}
