package service

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/flamingowind/flamingowind/pkg/standin/journal"
	"github.com/flamingowind/flamingowind/pkg/standin/reply"
)

// Headers between router and service.
const (
	attemptHeader = "Flamingowind-Attempt"
	orgHeader     = "Flamingowind-Org"
	markerHeader  = "Flamingowind-Marker"
	serviceHeader = "Flamingowind-Service"
	keyHeader     = "Idempotency-Key"
)

// call is one call that runs.
type call struct {
	record  journal.Attempt
	entry   journal.Entry
	crashed chan struct{} // closed by a crash of the service
}

func newCall(r *http.Request, body []byte) *call {
	id := r.Header.Get(attemptHeader)
	if id == "" {
		id = uuid.NewString()
	}
	return &call{
		record: journal.Attempt{
			Attempt: id,
			Org:     r.Header.Get(orgHeader),
			Content: strconv.FormatUint(xxhash.Sum64(body), 16),
			Marker:  r.Header.Get(markerHeader),
			Key:     r.Header.Get(keyHeader),
			Started: time.Now(),
		},
		crashed: make(chan struct{}),
	}
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	if s.isDown() {
		reply.BreakOff()
	}
	body, err := reply.Body(w, r)
	if err != nil {
		reply.Error(w, http.StatusBadRequest, err.Error())
		return
	}
	faults := s.currentFaults()
	if !hold(r.Context().Done(), faults.hang()) {
		reply.BreakOff()
	}
	if faults.Refuse {
		reply.Error(w, http.StatusServiceUnavailable, "refused before it ran")
		return
	}
	c := newCall(r, body)
	if !s.start(c) {
		reply.Error(w, http.StatusServiceUnavailable, "too many calls run")
		return
	}
	s.run(c, body, faults)
	if faults.LoseAnswers {
		reply.BreakOff()
	}
	s.answer(w, r, c, body, faults)
}

// run runs the call to its end, also when its caller goes away meanwhile: what a
// plain service has begun it doesn't take back.
func (s *Service) run(c *call, body []byte, faults Faults) {
	if !hold(c.crashed, faults.call(s.options.Call)) {
		reply.BreakOff()
	}
	if faults.CrashOn != "" && strings.Contains(string(body), faults.CrashOn) {
		s.crash()
		reply.BreakOff()
	}
	if !s.finish(c) {
		reply.BreakOff()
	}
}

// hold waits for d and reports false when stop comes first.
func hold(stop <-chan struct{}, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-stop:
		return false
	}
}

func (s *Service) answer(w http.ResponseWriter, r *http.Request, c *call, body []byte, faults Faults) {
	id := c.record.Attempt
	if faults.WrongAttempt {
		id = "other-" + id
	}
	h := w.Header()
	h.Set(attemptHeader, id)
	h.Set(serviceHeader, s.options.Name)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if kind := r.Header.Get("Content-Type"); kind != "" {
		h.Set("Content-Type", kind)
	}
	if faults.Truncate {
		body = body[:len(body)/2]
	}
	_, _ = w.Write(body) // a caller that went away is no fault here
}
