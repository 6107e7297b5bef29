package gateway

import (
	"math"
	"time"

	"github.com/apex/log"

	"github.com/flamingowind/flamingowind/pkg/catalog"
	"github.com/flamingowind/flamingowind/pkg/forward"
	"github.com/flamingowind/flamingowind/pkg/placement"
	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// step is one attempt of a request, for the log.
type step struct {
	Instance upstream.ID `json:"instance"`
	AtMs     int64       `json:"at_ms"`
	WaitMs   int64       `json:"expected_wait_ms"`
	Running  int         `json:"running"`
	Unread   int         `json:"unread_tokens"`
	Kept     int         `json:"kept_tokens"`
	Shared   int         `json:"shared_tokens"`
	// UnseenMs is what other routers were expected to have given to all instances of the service
	// since the loads that were known of, in milliseconds.
	UnseenMs int64 `json:"unseen_ms,omitempty"`
	// Revision is that of the list of instances that the attempt went by, ListAgeMs the list's age.
	Revision  int64 `json:"revision"`
	ListAgeMs int64 `json:"list_age_ms,omitempty"`
	// Held is whether the instance was missing from that list and was kept after an outage.
	Held    bool  `json:"held,omitempty"`
	FirstMs int64 `json:"first_ms,omitempty"`
	Events  int   `json:"events,omitempty"`
	// Fetched is the number of prompt tokens that were to be fetched from another engine.
	Fetched int `json:"fetched_tokens,omitempty"`
	// Risk is the part of the streams beside it that its reading was expected to make late.
	Risk float64 `json:"risk,omitempty"`
	// Framing is how the answer tells where it ends, Ending what ended its reading, RestBytes what was
	// left behind its last whole event.
	Framing   forward.Framing `json:"framing,omitempty"`
	Ending    forward.Ending  `json:"ending,omitempty"`
	RestBytes int             `json:"rest_bytes,omitempty"`
	// PauseMs is the longest time between two events.
	PauseMs int64  `json:"pause_ms,omitempty"`
	Outcome string `json:"outcome"`
	Error   string `json:"error,omitempty"`
	started time.Time
}

// basis notes which list the attempt goes by.
func (s *step) basis(b catalog.Basis) {
	s.Revision, s.ListAgeMs, s.Held = int64(b.Revision), b.Age.Milliseconds(), b.Held
}

// decided is what the last choice of an instance went by.
type decided struct {
	// Candidates is the number of instances that could be given the request.
	Candidates int `json:"candidates"`
	// Cold is the number of those that were left out as they are cold.
	Cold int `json:"cold,omitempty"`
	// Routers is how many routers' work is counted in the loads.
	Routers int `json:"routers"`
	// ListAgeMs is the age of the list of instances.
	ListAgeMs int64 `json:"list_age_ms"`
	// SoonestMs and QueueMs are the shortest expected wait and the shortest queue.
	SoonestMs int64 `json:"soonest_ms"`
	QueueMs   int64 `json:"queue_ms"`
	// LimitMs and QueueLimitMs are the longest ones that the request may have, Occupancy
	// the part of an engine's slots that may be taken.
	LimitMs      int64   `json:"limit_ms"`
	QueueLimitMs int64   `json:"queue_limit_ms"`
	Occupancy    float64 `json:"occupancy,omitempty"`
	// Part is the part of the requests over their share that there was room for.
	Part float64 `json:"part,omitempty"`
}

func (d *decided) limits(req placement.Request, v placement.Decision) {
	d.SoonestMs, d.QueueMs = v.ShortestWait.Milliseconds(), v.ShortestQueue.Milliseconds()
	d.LimitMs, d.QueueLimitMs = req.Limits.Wait.Milliseconds(), req.Limits.Queue.Milliseconds()
	d.Part = math.Round(v.AdmittedFraction*100) / 100
	d.Occupancy = math.Round(req.Limits.Occupancy*100) / 100
}

// trail is what the log says of a request at its end.
type trail struct {
	steps   []step
	outcome string
	status  int
	reason  string
	decided decided
}

// mostFields is the number of fields that a request's line may have. A map that grows to it
// costs a tenth of the line.
const mostFields = 16

func (r *request) fields(now time.Time) log.Fields {
	f := make(log.Fields, mostFields)
	f["event"] = "request"
	f["request"] = r.ask.RequestID
	f["outcome"] = r.trail.outcome
	f["status"] = r.trail.status
	f["took_ms"] = now.Sub(r.start).Milliseconds()
	f["config"] = r.version
	if r.ask.Deadline > 0 {
		f["deadline_ms"] = r.ask.Deadline.Milliseconds()
	}
	if r.route != nil {
		f["route"] = r.route.Name
	}
	if r.org != "" {
		f["organisation"] = r.org
	}
	if r.standing.ShareRatio > 0 {
		f["standing"] = math.Round(r.standing.ShareRatio*100) / 100
	}
	if r.standing.Ahead > 1 {
		f["ahead"] = math.Round(r.standing.Ahead*100) / 100
	}
	if r.ask.Prompt != nil {
		f["size"] = int(r.ask.Prompt.Size())
	}
	if r.service != nil {
		f["service"] = r.service.Name
	}
	if r.trail.reason != "" {
		f["reason"] = r.trail.reason
	}
	if r.trail.outcome != outcomeServed && r.tried != nil {
		f["decided_by"] = r.trail.decided
	}
	if len(r.trail.steps) > 0 {
		f["attempts"] = r.trail.steps
	}
	return f
}
