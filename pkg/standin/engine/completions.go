package engine

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/standin/reply"
	"github.com/flamingowind/flamingowind/pkg/verdict"
)

// Headers between router and engine.
const (
	attemptHeader = "Flamingowind-Attempt"
	orgHeader     = "Flamingowind-Org"
	leavingHeader = "Flamingowind-Leaving"
	keyHeader     = "Idempotency-Key"
)

// bytesPerToken turns a prompt's length into tokens, roughly.
const bytesPerToken = 4

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var req request
	if !reply.Decode(w, r, &req) {
		return
	}
	faults := e.currentFaults()
	if !hold(r, faults.hang()) {
		reply.BreakOff()
	}
	if faults.Leaving {
		w.Header().Set(leavingHeader, "1")
	}
	if faults.BackoffSeconds > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(faults.BackoffSeconds))
		w.Header().Set(attemptHeader, r.Header.Get(attemptHeader))
		w.Header().Set(verdict.Header, verdict.NotRun.String())
		reply.Error(w, http.StatusServiceUnavailable, "wants no requests for now")
		return
	}
	if faults.Refuse {
		reply.Error(w, http.StatusServiceUnavailable, "refused before it ran")
		return
	}
	a := newAttempt(r, &req, faults)
	watcher, err := e.submit(a)
	if err != nil {
		refuse(w, err)
		return
	}
	defer e.leave(a, watcher)
	setAttempt(w, a)
	if faults.Endless != "" {
		sendEndless(r.Context(), w, faults.Endless)
		return
	}
	if !a.stream {
		sendWhole(w, r, a, watcher)
		return
	}
	s := newStream(w, a, 0)
	if faults.BreakAfter > 0 {
		s.breakAt = faults.BreakAfter
	}
	s.run(r.Context(), watcher)
}

// hold waits for d and reports false when the caller went away meanwhile.
func hold(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

func refuse(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, errDown):
		reply.BreakOff()
	case errors.Is(err, errDuplicate):
		reply.Error(w, http.StatusConflict, err.Error())
	default:
		reply.Error(w, http.StatusServiceUnavailable, err.Error())
	}
}

func newAttempt(r *http.Request, req *request, faults Faults) *attempt {
	prompt := req.prompt()
	hidden := req.hidden(prompt)
	total := min(hidden, req.limit())
	a := &attempt{
		id:           r.Header.Get(attemptHeader),
		org:          r.Header.Get(orgHeader),
		key:          r.Header.Get(keyHeader),
		marker:       req.Marker,
		content:      contentOf(prompt),
		prompt:       prompt,
		promptTokens: 1 + len(prompt)/bytesPerToken,
		model:        req.Model,
		created:      time.Now().Unix(),
		chat:         strings.HasPrefix(r.URL.Path, "/v1/chat/"),
		stream:       req.Stream,
		limited:      total < hidden,
		total:        total,
		blocks:       blockHashes(prompt),
		garbage:      faults.Garbage,
		truncate:     faults.Truncate,
		surplus:      faults.Surplus,
		wrongAttempt: faults.WrongAttempt,
	}
	if a.id == "" {
		a.id = uuid.NewString()
	}
	if a.org == "" {
		a.org = req.User
	}
	return a
}

func setAttempt(w http.ResponseWriter, a *attempt) {
	id := a.id
	if a.wrongAttempt {
		id = "other-" + id
	}
	w.Header().Set(attemptHeader, id)
}

// sendWhole waits for the end of the attempt and answers with its declared length.
func sendWhole(w http.ResponseWriter, r *http.Request, a *attempt, watcher <-chan struct{}) {
	for a.at() < finished {
		select {
		case <-watcher:
		case <-r.Context().Done():
			return
		}
	}
	if a.at() != finished {
		reply.BreakOff() // cancelled or crashed: there is no answer
	}
	body, err := a.whole()
	if err != nil {
		reply.Error(w, http.StatusInternalServerError, err.Error())
		return
	}
	if a.surplus {
		body = append(body, body...)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if a.truncate {
		body = body[:len(body)/2]
	}
	_, _ = w.Write(body) // a caller that went away is no fault here
}
