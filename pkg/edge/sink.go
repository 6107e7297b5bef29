package edge

import (
	"maps"
	"net/http"
	"time"

	"github.com/flamingowind/flamingowind/pkg/verdict"
)

// streamSink passes a streamed answer to the caller, event by event.
//
// A caller that reads nothing would hold its slot for as long as it likes: each write
// has a deadline of its own, and one that passes ends the attempt as the caller's going.
type streamSink struct {
	edge    *Edge
	w       http.ResponseWriter
	control *http.ResponseController
	began   func()
}

// Begin sends the head. The upstream is running the request, so that the verdict is Ran.
func (s *streamSink) Begin(status int, header http.Header) {
	maps.Copy(s.w.Header(), header)
	s.w.Header().Set(verdict.Header, verdict.Ran.String())
	s.edge.closeWhenDraining(s.w.Header())
	_ = s.control.SetWriteDeadline(time.Now().Add(s.edge.limits.Load().WriteTimeout))
	s.w.WriteHeader(status)
	s.began()
}

// Write sends p at once.
func (s *streamSink) Write(p []byte) error {
	if err := s.control.SetWriteDeadline(time.Now().Add(s.edge.limits.Load().WriteTimeout)); err != nil {
		return err
	}
	if _, err := s.w.Write(p); err != nil {
		return err
	}
	return s.control.Flush()
}
