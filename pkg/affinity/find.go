package affinity

import (
	"context"
	"time"
)

// Find returns the version at which a stream has to go on. Without one, the binding's source says
// why.
func (t *Tracker) Find(ctx context.Context, q Query, now time.Time) (Binding, bool) {
	tried := t.recordsTried() // before the first look, so that what is read meanwhile is looked for again
	if q.FirstAttempt != "" {
		if s, source, ok := t.recorded(KeyOf(q.Organisation, q.FirstAttempt), now); ok {
			return t.resolve(q, s, source)
		}
	}
	name, sole := t.sole(q.Service, now)
	if sole && (q.FirstAttempt == "" || len(q.Services) <= 1) {
		return Binding{Service: q.Service, Version: name, Source: SoleVersion}, true
	}
	reply := t.askOthers(ctx, q)
	if reply.Recorded {
		return t.resolve(q, reply.Version, AskedRecord)
	}
	if !tried {
		if b, ok, found := t.findStored(ctx, q, now); found {
			return b, ok
		}
	}
	if sole {
		return Binding{Service: q.Service, Version: name, Source: SoleVersion}, true
	}
	return t.resolve(q, reply.Version, AskedSole)
}

// findStored waits for the first try to read the records of the store, and looks again.
func (t *Tracker) findStored(ctx context.Context, q Query, now time.Time) (b Binding, ok, found bool) {
	if q.FirstAttempt == "" || !t.awaitRecords(ctx) {
		return Binding{}, false, false
	}
	s, source, found := t.recorded(KeyOf(q.Organisation, q.FirstAttempt), now)
	if !found {
		return Binding{}, false, false
	}
	b, ok = t.resolve(q, s, source)
	return b, ok, true
}

func (t *Tracker) askOthers(ctx context.Context, q Query) Reply {
	question := Question{Service: q.Service}
	if q.FirstAttempt != "" {
		question.Key = KeyOf(q.Organisation, q.FirstAttempt)
	}
	select {
	case t.questions <- struct{}{}:
		defer func() { <-t.questions }()
	default:
		return Reply{}
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return t.ask(ctx, question)
}

// resolve returns the binding to a version of one of the route's services.
func (t *Tracker) resolve(q Query, s VersionID, source Source) (Binding, bool) {
	if s == unknownVersion {
		return Binding{Service: q.Service, Source: Unknown}, false
	}
	for _, service := range q.Services {
		for _, name := range t.history.names(service) {
			if VersionIDOf(service, name) == s {
				return Binding{Service: service, Version: name, Source: source}, true
			}
		}
	}
	return Binding{Service: q.Service, Source: Elsewhere}, false
}

// Reply answers another router's question.
func (t *Tracker) Reply(q Question, now time.Time) Reply {
	if q.Key != 0 {
		if s, _, ok := t.recorded(q.Key, now); ok {
			return Reply{Version: s, Recorded: true}
		}
	}
	if name, ok := t.sole(q.Service, now); ok {
		return Reply{Version: VersionIDOf(q.Service, name)}
	}
	return Reply{}
}
