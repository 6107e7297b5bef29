package edge

import (
	"time"

	"github.com/apex/log"
)

// log writes one line a request, without keys or contents.
func (q *request) log() {
	if l, ok := q.edge.Log.(*log.Logger); ok && l.Level > log.DebugLevel {
		return
	}
	fields := log.Fields{
		"org":      q.org.Name,
		"target":   q.model,
		"class":    q.class,
		"verdict":  q.result.Verdict.String(),
		"status":   q.result.Status,
		"attempt":  q.result.Attempt,
		"upstream": q.result.Upstream,
		"tokens":   q.result.Tokens,
		"took":     time.Since(q.received),
	}
	if err := q.result.Err; err != nil {
		fields["code"], fields["status"] = err.Code, err.Status
	}
	q.edge.Log.WithFields(fields).Debug("request")
}
