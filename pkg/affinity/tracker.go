package affinity

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// Asker asks other routers, all at once, until one has a record or all have answered.
type Asker func(ctx context.Context, q Question) Reply

const (
	// askTimeout bounds a question to other routers: callers that resume a stream wait for it.
	askTimeout = 250 * time.Millisecond
	// maxQuestions bounds the questions at a time, so that callers who name attempts at random don't
	// make a router ask without end.
	maxQuestions = 64
	// maxUnsent bounds the records that wait to be sent; others can still ask for the rest.
	maxUnsent = 4096
	// viewInterval is the time between two looks at the other routers for the same purpose.
	viewInterval = 20 * time.Millisecond
)

// Tracker is a router's knowledge of the software versions of services and of the streams that
// began there.
type Tracker struct {
	history *history
	life    streamLife
	// own holds the streams that this router began, others those that other routers sent.
	own, others ledger
	// stored are the records that were in the store when this router started.
	stored     storedRecords
	view       View
	startedAt  time.Time
	ask        Asker
	questions  chan struct{}
	wake       wakeDetector
	departures departures

	mu sync.Mutex
	// unsent are own records since the last call of TakeRecords.
	unsent []unsentRecord
	// sent holds the versions of services whose records are being sent to others.
	sent map[VersionID]bool
	// outbox holds the records for the store.
	outbox outbox
	// unkept is signalled when a record waits in it.
	unkept chan struct{}
	// openedAt is when versions were last looked at for being opened.
	openedAt time.Time
}

type unsentRecord struct {
	Record
	service string
}

// NewTracker returns the tracker of a router that starts now and knows nothing yet.
func NewTracker(v View, ask Asker, now time.Time, l log.Interface) *Tracker {
	t := &Tracker{view: v, ask: ask, startedAt: now, questions: make(chan struct{}, maxQuestions), sent: make(map[VersionID]bool), unkept: make(chan struct{}, 1)}
	t.history = newHistory(&t.life, l)
	t.own.life, t.others.life, t.stored.life = &t.life, &t.life, &t.life
	return t
}

// SetUpstreams takes over a new list of upstreams; the one before was current at known.
func (t *Tracker) SetUpstreams(set *upstream.Set, known, now time.Time) {
	t.history.setList(set, now)
	t.departures.setList(set, known)
}

// SetLeaveLimit sets how long an upstream that leaves may be sent the rest of streams, from its
// announcement on; 0 for not at all.
func (t *Tracker) SetLeaveLimit(limit time.Duration) { t.departures.setLimit(limit) }

// MayGoOn reports whether an upstream that leaves may still be sent the rest of a stream.
func (t *Tracker) MayGoOn(in *upstream.Instance, now time.Time) bool {
	return t.departures.mayGoOn(in, now)
}

// MarkFounded records that the fleet first started with this router, so that no stream began before.
func (t *Tracker) MarkFounded() { t.history.markFounding() }

// Open reports whether streams may begin at an instance.
func (t *Tracker) Open(in *upstream.Instance, now time.Time) bool {
	if t.history.closed.Load() == 0 {
		return true
	}
	t.openKnown(now)
	return t.history.isOpen(in.Service, in.Software)
}

// AllOpen reports whether streams may begin at every instance.
func (t *Tracker) AllOpen() bool { return t.history.closed.Load() == 0 }

func (t *Tracker) openKnown(now time.Time) {
	t.mu.Lock()
	due := now.Sub(t.openedAt) >= viewInterval
	if due {
		t.openedAt = now
	}
	t.mu.Unlock()
	if due {
		t.history.openKnown(t.view, now)
	}
}

// Begin records that the stream of an attempt began at an instance.
func (t *Tracker) Begin(organisation, firstAttempt string, in *upstream.Instance, now time.Time) {
	r := Record{Key: KeyOf(organisation, firstAttempt), Version: VersionIDOf(in.Service, in.Software)}
	t.own.add(r, now)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.keep(r)
	if len(t.unsent) < maxUnsent {
		t.unsent = append(t.unsent, unsentRecord{Record: r, service: in.Service})
	}
}

// TakeRecords returns the records to send to the other routers since the last call: none of services
// with a sole version. The streams that began before a service had several are sent once it has.
func (t *Tracker) TakeRecords(now time.Time) []Record {
	t.learnLife()
	t.openKnown(now)
	t.mu.Lock()
	unsent := t.unsent
	t.unsent = nil
	t.mu.Unlock()
	certain := t.certain(now, time.Time{})
	sole := make(map[string]bool)
	var list []Record
	for _, u := range unsent {
		if _, ok := sole[u.service]; !ok {
			_, ok = t.history.sole(u.service, now)
			sole[u.service] = ok && certain
		}
		if !sole[u.service] {
			list = append(list, u.Record)
		}
	}
	return append(list, t.earlierRecords(now)...)
}

// earlierRecords returns the records of streams that began before their service had several versions.
func (t *Tracker) earlierRecords(now time.Time) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.sent) == 0 && !t.history.several(now) {
		return nil
	}
	var list []Record
	for software, several := range t.history.recent(now) {
		if several && !t.sent[software] {
			list = append(list, t.own.all(software, now)...)
		}
		if several {
			t.sent[software] = true
		} else {
			delete(t.sent, software)
		}
	}
	return list
}

// Merge takes over records of other routers.
func (t *Tracker) Merge(list []Record, now time.Time) {
	for _, r := range list {
		t.others.add(r, now)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range list {
		t.keep(r)
	}
}

// Statement returns what this router tells others of versions. It is worth telling at any time if
// several is set, otherwise now and then.
func (t *Tracker) Statement(now time.Time) (s Statement, several bool) {
	return t.history.statement(t.view.ListAge(now), now), t.history.several(now)
}

// MergeStatement takes over a statement that another router made at createdAt or later.
func (t *Tracker) MergeStatement(s Statement, createdAt, now time.Time) {
	t.history.merge(s, createdAt, now)
}

// Observe records whether all versions are known at now. It has to be called every few seconds: what
// comes and goes between two calls may go unseen.
func (t *Tracker) Observe(now time.Time) { t.certain(now, time.Time{}) }

// sole returns the sole version of a service if that is certain.
func (t *Tracker) sole(service string, now time.Time) (string, bool) {
	t.learnLife()
	if !t.certain(now, t.wake.since(now)) {
		return "", false
	}
	return t.history.sole(service, now)
}

// certain reports whether no version can serve unknown to this router: its list of upstreams is
// recent, or every other router was heard of recently and none has a newer list. What was learned
// before awakeSince doesn't count.
//
// A list that was current only before this router started never counts: others may have opened a
// version meanwhile because this router's earlier life knew it.
func (t *Tracker) certain(now, awakeSince time.Time) bool {
	peers := t.view.Peers(now)
	listedAt := now.Add(-t.view.ListAge(now))
	if listedAt.Before(t.startedAt) {
		t.history.noteUncovered()
		return false
	}
	t.history.noteCurrent(listedAt)
	if now.Sub(listedAt) <= maxListAge && !listedAt.Before(awakeSince) {
		return peers.Current
	}
	if !peers.Complete || peers.Newest > t.view.ListRevision() || peers.HeardAt.Before(t.startedAt) {
		return false
	}
	t.history.noteCurrent(peers.HeardAt)
	return peers.Current && now.Sub(peers.HeardAt) <= maxListAge && !peers.HeardAt.Before(awakeSince)
}

// learnLife takes over how long streams of the configuration in force may be resumed.
func (t *Tracker) learnLife() { t.life.learn(t.view.LongestStream()) }

// Records returns the number of streams on record.
func (t *Tracker) Records() int {
	return t.own.size() + t.others.size() + t.stored.size()
}
