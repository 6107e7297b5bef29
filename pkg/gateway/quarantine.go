package gateway

import (
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/flamingowind/flamingowind/pkg/forward"
	"github.com/flamingowind/flamingowind/pkg/quarantine"
	"github.com/flamingowind/flamingowind/pkg/verdict"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

const (
	// CrashLimit is the number of upstreams that may crash while they run the same content before it is
	// refused. One or two may be coincidence: an upstream that crashes breaks off all requests that it
	// runs, and their callers retry.
	CrashLimit = 3
	// PartCrashLimit is the same for a part of prompts. Many requests share one, so coincidences are more
	// frequent.
	PartCrashLimit = 5
	// quarantineDuration is how long a suspicion holds after the last crash. Each time that it ends,
	// one more crash is needed to refuse the content or part again.
	quarantineDuration = 30 * time.Minute
	// minCrashSpan is the time within which upstreams count as lost together.
	minCrashSpan = 250 * time.Millisecond
	// crashMoment is the span within which upstreams count as one against what was sound before. It is longer
	// than minCrashSpan, as routers lose their runs on one upstream some time apart.
	crashMoment = 300 * time.Millisecond
	// partSettle is the time from the first crash in which a part isn't refused. When upstreams are lost
	// together, a popular part was at all of them; within this time it shows elsewhere that it is sound.
	partSettle = 300 * time.Millisecond
	// maxPartSuspects, maxPartsRefused and maxPartHistory bound what is known of parts, at two entries for each. The
	// largest head that callers may send has some 16,000 parts.
	maxPartSuspects = 32768
	maxPartsRefused = 32768
	maxPartHistory  = 32768
)

// NewQuarantine returns an empty book with the limits by which gateways refuse requests.
func NewQuarantine() *quarantine.Book {
	return quarantine.NewBook(
		quarantine.Config{CrashLimit: CrashLimit, Duration: quarantineDuration, MinSpan: minCrashSpan, Moment: crashMoment},
		quarantine.Config{CrashLimit: PartCrashLimit, Duration: quarantineDuration, Settle: partSettle, Moment: crashMoment, ClearConfirmed: true, Parts: true, Scopes: partScopes,
			MaxSuspects: maxPartSuspects, MaxConfirmed: maxPartsRefused, MaxHistory: maxPartHistory})
}

// Steps of suspicions and what they concern, for metrics.
const (
	crashSeen      = "crash"
	crashCleared   = "cleared"
	crashRefused   = "refused"
	subjectContent = "content"
	subjectPart    = "part"
)

// SubjectKind names what is suspected, for logs and operators.
func SubjectKind(part bool) string {
	if part {
		return subjectPart
	}
	return subjectContent
}

// CrashLimitOf returns the number of crashes from which on what s is about is refused.
func CrashLimitOf(s wire.Suspicion) int {
	if s.Part {
		return PartCrashLimit
	}
	return CrashLimit
}

func subjectOf(s wire.Suspicion) string { return SubjectKind(s.Part) }

// refusedFor returns the content or part for which r is refused, and for how long.
func (g *Gateway) refusedFor(r *request) (subject uint64, kind string, remaining time.Duration) {
	if remaining, refused := g.quarantine.Contents.Refused(r.contentHash); refused {
		return r.contentHash, subjectContent, remaining
	}
	if g.quarantine.Parts.Empty() {
		return 0, "", 0
	}
	if part, remaining, refused := g.quarantine.Parts.RefusedPart(r.partHashes()); refused {
		return part, subjectPart, remaining
	}
	return 0, "", 0
}

// checkCrashes returns an error if r is refused because upstreams crashed under it or under a part of its
// prompt.
func (g *Gateway) checkCrashes(r *request) *verdict.Error {
	subject, kind, remaining := g.refusedFor(r)
	if subject == 0 {
		return nil
	}
	g.metrics.suspicions.count(crashRefused, kind)
	r.logRecord.refusedFor = FormatSubject(subject)
	if kind == subjectPart {
		return errPartQuarantined(remaining)
	}
	return errQuarantined(remaining)
}

// recordCompletion records that r completed with a response that shows it: an error response may come
// without a run, and a response that ends with its connection may end with its upstream.
func (g *Gateway) recordCompletion(r *request, resp *forward.Response) {
	if resp.Status < http.StatusBadRequest && resp.Framing != forward.FramedByClose {
		g.recordSound(r)
	}
}

// recordSound records that r runs without crashing its upstream.
func (g *Gateway) recordSound(r *request) {
	if news, ok := g.quarantine.Contents.RecordCompletion(r.contentHash); ok {
		g.logCleared(r, news)
	}
	for _, news := range g.quarantine.Parts.RecordPartCompletions(r.partHashes()) {
		g.logCleared(r, news)
	}
}

func (g *Gateway) logCleared(r *request, news wire.Suspicion) {
	g.metrics.suspicions.count(crashCleared, subjectOf(news))
	g.log.WithFields(log.Fields{"event": "crash_cleared", "kind": subjectOf(news), "subject": FormatSubject(news.Content), "request": r.meta.RequestID}).Info("what upstreams crashed under is sound")
}
