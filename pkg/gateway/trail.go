package gateway

import (
	"math"
	"time"

	"github.com/apex/log"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// step is one attempt of a request, for the log.
type step struct {
	Instance upstream.ID   `json:"instance"`
	AtMs     int64         `json:"at_ms"`
	WaitMs   int64         `json:"expected_wait_ms"`
	Running  int           `json:"running"`
	Unread   int           `json:"unread_tokens"`
	Kept     int           `json:"kept_tokens"`
	Shared   int           `json:"shared_tokens"`
	FirstMs  int64         `json:"first_ms,omitempty"`
	Events   int           `json:"events,omitempty"`
	Outcome  string        `json:"outcome"`
	Error    string        `json:"error,omitempty"`
	started  time.Time     `json:"-"`
	took     time.Duration `json:"-"`
}

// trail is what the log says of a request at its end.
type trail struct {
	steps   []step
	outcome string
	status  int
	reason  string
}

func (r *request) fields(now time.Time) log.Fields {
	f := log.Fields{
		"event": "request", "request": r.ask.RequestID, "outcome": r.trail.outcome, "status": r.trail.status,
		"took_ms": now.Sub(r.start).Milliseconds(), "config": r.version,
	}
	if r.route != nil {
		f["route"] = r.route.Name
	}
	if r.org != "" {
		f["organisation"] = r.org
	}
	if r.standing.Share > 0 {
		f["standing"] = math.Round(r.standing.Share*100) / 100
	}
	if r.service != nil {
		f["service"] = r.service.Name
	}
	if r.trail.reason != "" {
		f["reason"] = r.trail.reason
	}
	if len(r.trail.steps) > 0 {
		f["attempts"] = r.trail.steps
	}
	return f
}
