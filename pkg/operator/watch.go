package operator

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/config"
)

// bookmarkEvery is how often a quiet watch shows that it lives and where it stands.
const bookmarkEvery = 10 * time.Second

// Line is one line of a watch: exactly one field is set.
type Line struct {
	Event *config.Event `json:"event,omitempty"`
	// Bookmark is the version up to which the watch has told everything.
	Bookmark *uint64 `json:"bookmark,omitempty"`
	// Error ends the watch.
	Error *Failure `json:"error,omitempty"`
}

// watch streams the changes after ?from=, by default those after now.
func (a *API) watch(w http.ResponseWriter, r *http.Request) {
	select {
	case a.watches <- struct{}{}:
		defer func() { <-a.watches }()
	default:
		writeFailure(w, failure(http.StatusServiceUnavailable, CodeOverloaded, "too many watches on this router"))
		return
	}
	from, err := a.watchFrom(r)
	if err != nil {
		writeFailure(w, failureOf(err))
		return
	}
	// Subscribed before the first read: a change between the two is told.
	changed, stop := a.opts.Live.Subscribe()
	defer stop()
	s := &watchStream{api: a, w: w, control: http.NewResponseController(w), from: from}
	if !s.begin(r) {
		return
	}
	s.run(r, changed)
}

func (a *API) watchFrom(r *http.Request) (uint64, error) {
	text := r.URL.Query().Get("from")
	if text == "" {
		return a.opts.Live.Version(), nil
	}
	from, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, failure(http.StatusBadRequest, CodeBadRequest, "from must be a configuration version")
	}
	return from, nil
}

// watchStream is one running watch.
type watchStream struct {
	api     *API
	w       http.ResponseWriter
	control *http.ResponseController
	from    uint64
}

// begin makes the first read, so that lost history is a plain 410.
func (s *watchStream) begin(r *http.Request) bool {
	events, err := s.api.opts.Store.Events(r.Context(), s.from)
	if err != nil && errors.Is(err, config.ErrGone) {
		writeFailure(s.w, failureOf(err))
		return false
	}
	// The server's time for reading a request ends the connection of a longer watch.
	_ = s.control.SetReadDeadline(time.Time{})
	s.w.Header().Set("Content-Type", "application/jsonlines")
	s.w.WriteHeader(http.StatusOK)
	return s.tell(events) == nil && s.bookmark() == nil
}

func (s *watchStream) run(r *http.Request, changed <-chan struct{}) {
	ticker := time.NewTicker(bookmarkEvery)
	defer ticker.Stop()
	for {
		if s.catchUp(r) != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-s.api.stopping:
			return
		case <-changed:
		case <-ticker.C:
			if s.bookmark() != nil {
				return
			}
		}
	}
}

// catchUp tells the events up to the version in force here. An outage of the table
// delays them; the next tick reads again.
func (s *watchStream) catchUp(r *http.Request) error {
	for s.from < s.api.opts.Live.Version() {
		events, err := s.api.opts.Store.Events(r.Context(), s.from)
		if errors.Is(err, config.ErrGone) {
			_ = s.line(Line{Error: failureOf(err)})
			return err
		}
		if err != nil || len(events) == 0 {
			return nil
		}
		if err := s.tell(events); err != nil {
			return err
		}
	}
	return nil
}

func (s *watchStream) tell(events []config.Event) error {
	for i := range events {
		if err := s.line(Line{Event: &events[i]}); err != nil {
			return err
		}
		s.from = events[i].Version
	}
	return nil
}

func (s *watchStream) bookmark() error { return s.line(Line{Bookmark: &s.from}) }

// line writes under a deadline: a watcher that reads nothing would hold its place for ever.
func (s *watchStream) line(l Line) error {
	b, err := json.Marshal(l)
	if err != nil {
		return errors.Annotate(err, "encode watch line")
	}
	_ = s.control.SetWriteDeadline(time.Now().Add(lineDeadline)) // a test's recorder has none
	if _, err := s.w.Write(append(b, '\n')); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(s.control.Flush())
}
