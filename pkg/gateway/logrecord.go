package gateway

import (
	"math"
	"time"

	"github.com/apex/log"

	"github.com/flamingowind/flamingowind/pkg/affinity"
	"github.com/flamingowind/flamingowind/pkg/catalog"
	"github.com/flamingowind/flamingowind/pkg/forward"
	"github.com/flamingowind/flamingowind/pkg/placement"
	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// attemptRecord describes one attempt of a request in the log.
type attemptRecord struct {
	Instance upstream.ID `json:"instance"`
	// Software is the instance's software version.
	Software       string `json:"software,omitempty"`
	OffsetMs       int64  `json:"at_ms"`
	ExpectedWaitMs int64  `json:"expected_wait_ms"`
	Running        int    `json:"running"`
	UncachedTokens int    `json:"unread_tokens"`
	CachedTokens   int    `json:"kept_tokens"`
	SharedTokens   int    `json:"shared_tokens"`
	// HeldMs is how long the request waited for its turn before it was sent.
	HeldMs int64 `json:"held_ms,omitempty"`
	// UnseenMs is the work, in milliseconds, that other routers are estimated to have assigned to all
	// instances of the service since they reported their loads.
	UnseenMs int64 `json:"unseen_ms,omitempty"`
	// Revision and ListAgeMs are the revision and the age of the instance list that the attempt used.
	Revision  int64 `json:"revision"`
	ListAgeMs int64 `json:"list_age_ms,omitempty"`
	// Held is whether the instance was missing from that list and had been kept after an outage.
	Held        bool  `json:"held,omitempty"`
	FirstByteMs int64 `json:"first_ms,omitempty"`
	Events      int   `json:"events,omitempty"`
	// FetchedTokens is the number of prompt tokens whose KV cache was to be fetched from another engine.
	FetchedTokens int `json:"fetched_tokens,omitempty"`
	// Risk is the fraction of the instance's other streams that the prefill was expected to make late.
	Risk float64 `json:"risk,omitempty"`
	// Framing is how the response marks its end, Ending is what ended the reading of it, RestBytes is
	// the number of bytes after its last complete event.
	Framing   forward.Framing `json:"framing,omitempty"`
	Ending    forward.Ending  `json:"ending,omitempty"`
	RestBytes int             `json:"rest_bytes,omitempty"`
	// MaxPauseMs is the longest time between two events.
	MaxPauseMs int64 `json:"pause_ms,omitempty"`
	// Leaving and BackoffMs are what the response said about the instance: that it leaves, and how long it
	// wants no requests, in milliseconds.
	Leaving   bool   `json:"leaving,omitempty"`
	BackoffMs int64  `json:"backoff_ms,omitempty"`
	Outcome   string `json:"outcome"`
	Error     string `json:"error,omitempty"`
	started   time.Time
}

// setBasis records which instance list the attempt used.
func (rec *attemptRecord) setBasis(b catalog.Basis) {
	rec.Revision, rec.ListAgeMs, rec.Held = int64(b.Revision), b.Age.Milliseconds(), b.Held
}

// setNotice records what the response says about the instance.
func (rec *attemptRecord) setNotice(n upstream.Notice) {
	rec.Leaving, rec.BackoffMs = n.Leaving, n.Backoff.Milliseconds()
}

// placementRecord describes the last choice of an instance in the log.
type placementRecord struct {
	// Candidates is the number of instances that the request could have been sent to.
	Candidates int `json:"candidates"`
	// Cold is the number of instances that were excluded because they were cold.
	Cold int `json:"cold,omitempty"`
	// Routers is the number of routers whose work is included in the loads.
	Routers int `json:"routers"`
	// ListAgeMs is the age of the instance list.
	ListAgeMs int64 `json:"list_age_ms"`
	// ShortestWaitMs and ShortestQueueMs are the shortest expected wait and the shortest queue.
	ShortestWaitMs  int64 `json:"soonest_ms"`
	ShortestQueueMs int64 `json:"queue_ms"`
	// MaxWaitMs and MaxQueueMs are the limits of the wait and the queue; Occupancy is the fraction of
	// an engine's slots that the request's organisation may take.
	MaxWaitMs  int64   `json:"limit_ms"`
	MaxQueueMs int64   `json:"queue_limit_ms"`
	Occupancy  float64 `json:"occupancy,omitempty"`
	// Keeper is the router that was asked for a turn at an engine.
	Keeper string `json:"keeper,omitempty"`
	// AdmittedFraction is the fraction of the requests over their fair share that there was room for.
	AdmittedFraction float64 `json:"part,omitempty"`
}

func (p *placementRecord) recordLimits(req placement.Request, v placement.Decision) {
	p.ShortestWaitMs, p.ShortestQueueMs = v.ShortestWait.Milliseconds(), v.ShortestQueue.Milliseconds()
	p.MaxWaitMs, p.MaxQueueMs = req.Limits.Wait.Milliseconds(), req.Limits.Queue.Milliseconds()
	p.AdmittedFraction = math.Round(v.AdmittedFraction*100) / 100
	p.Occupancy = math.Round(req.Limits.Occupancy*100) / 100
}

// logRecord is what the log line of a request says about its handling.
type logRecord struct {
	attempts []attemptRecord
	outcome  string
	status   int
	reason   string
	// refusedFor is the content or part that the request is refused for; empty for none.
	refusedFor string
	placement  placementRecord
}

// logFieldCapacity is the maximum number of fields of a request's log line. Growing the map to that
// size would cost a tenth of the line.
const logFieldCapacity = 23

func (r *request) logFields(now time.Time) log.Fields {
	f := make(log.Fields, logFieldCapacity)
	f["event"] = "request"
	f["request"] = r.meta.RequestID
	f["outcome"] = r.logRecord.outcome
	f["status"] = r.logRecord.status
	f["took_ms"] = now.Sub(r.start).Milliseconds()
	f["config"] = r.configVersion
	if r.meta.Deadline > 0 {
		f["deadline_ms"] = r.meta.Deadline.Milliseconds()
	}
	if r.meta.Resumes {
		f["after"] = r.meta.LastEventID
	}
	if r.meta.FirstAttempt != "" {
		f["resumes"] = loggedID(r.meta.FirstAttempt)
	}
	if r.boundBy != "" {
		f["bound_by"] = r.boundBy
	}
	if r.doubt != affinity.NoDoubt {
		f["doubt"] = r.doubt
	}
	if r.bound && (r.boundBy != "" || len(r.logRecord.attempts) > 1) {
		f["bound_to"] = r.software
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
	if r.meta.Prompt != nil {
		f["size"] = int(r.meta.Prompt.Size())
	}
	if r.service != nil {
		f["service"] = r.service.Name
	}
	if r.logRecord.reason != "" {
		f["reason"] = r.logRecord.reason
	}
	if r.logRecord.outcome != outcomeServed && r.tried != nil {
		f["decided_by"] = r.logRecord.placement
	}
	if r.logRecord.refusedFor != "" {
		f["refused_for"] = r.logRecord.refusedFor
	}
	if r.namesContent() {
		f["content"] = FormatSubject(r.contentHash)
		if parts := r.loggedParts(); len(parts) > 0 {
			f["parts"] = parts
		}
	}
	if len(r.logRecord.attempts) > 0 {
		f["attempts"] = r.logRecord.attempts
	}
	return f
}

// namesContent reports whether the log line names the request's content: an upstream broke off under it,
// or it was refused for that.
func (r *request) namesContent() bool {
	for _, a := range r.logRecord.attempts {
		if a.Outcome == outcomeBroken {
			return true
		}
	}
	return r.logRecord.refusedFor != ""
}

// maxLoggedID bounds the length of an ID that a caller names, in bytes.
const maxLoggedID = 64

// loggedID returns id, or the beginning of a long one.
func loggedID(id string) string { return id[:min(len(id), maxLoggedID)] }
