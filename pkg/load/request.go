package load

import (
	"time"

	"github.com/flamingowind/flamingowind/internal/devfleet"
)

// Class is the urgency that a request asks for.
type Class string

// Classes as the callers' header names them.
const (
	Urgent Class = "urgent"
	Normal Class = "normal"
	Batch  Class = "batch"
)

// Form is the shape of a request.
type Form string

// Forms of requests.
const (
	Streamed    Form = "streamed"     // a completion as server-sent events
	Plain       Form = "plain"        // a completion in one answer
	ServiceCall Form = "service"      // a call that may be repeated
	ServiceSave Form = "service-save" // a call that may run at most once
)

// Request is one request to send.
type Request struct {
	// Marker is unique; upstreams write it to their journals.
	Marker string
	Org    devfleet.OrgInfo
	Class  Class
	Form   Form
	// Entry is the router to send to, "ip:port".
	Entry string
	// Tokens is the length of the whole answer; the system isn't told.
	Tokens int
	// Intended is when the request should be sent. Times are measured from here.
	Intended time.Time
	// Deadline bounds the wait for a slot; 0 takes the system's default.
	Deadline time.Duration
}
