package quarantine

import "time"

// Suspect describes a content or a part under which upstreams crashed.
type Suspect struct {
	Subject uint64
	Part    bool
	// Crashes is the number of crashes since it was last known to be sound, LastCrash the time since the
	// last one.
	Crashes   int
	LastCrash time.Duration
	// Remaining is how long it is still refused; 0 if it isn't.
	Remaining time.Duration
}

// Suspects returns everything that is suspected, in no particular order.
func (b *Book) Suspects() []Suspect { return append(b.Contents.suspects(), b.Parts.suspects()...) }

func (l *List) suspects() []Suspect {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	var list []Suspect
	for _, e := range l.tracker.entries(now) {
		n := l.tracker.countOf(now, e)
		if n == 0 {
			continue
		}
		s := Suspect{Subject: e.content, Part: l.tracker.config.Parts, Crashes: len(e.crashes), LastCrash: now.Sub(e.lastCrash())}
		if n >= l.tracker.config.CrashLimit {
			s.Remaining = l.tracker.remaining(now, e.content)
		}
		list = append(list, s)
	}
	return list
}
