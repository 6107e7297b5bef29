package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// Book is what one router knows of what crashes upstreams: whole requests, and parts that the prompts of
// several requests have in common. It is safe for concurrent use.
type Book struct {
	Contents, Parts *List
	// changes is the number of the last change in either list.
	changes atomic.Uint64
	// mu is the lock of both lists.
	mu sync.Mutex
	// overview is that of the entries of both lists.
	overview overview
}

// NewBook returns an empty Book.
func NewBook(contents, parts Config) *Book {
	b := new(Book)
	b.Contents, b.Parts = newList(contents, &b.mu, &b.changes), newList(parts, &b.mu, &b.changes)
	b.Contents.tracker.parts, b.Parts.tracker.contents = b.Parts.tracker, b.Contents.tracker
	return b
}

// RecordCrash records that an upstream crashed under a run, and returns the suspicions that changed. It may become
// known well after the run was lost, when others have shown that the run's parts are sound.
func (b *Book) RecordCrash(run LostRun, upstream uint32) []wire.Suspicion {
	var news []wire.Suspicion
	if s, ok := b.Contents.record(run.Content, 0, upstream, true, run.At); ok {
		news = append(news, s)
	}
	return append(news, b.Parts.recordParts(run.Parts, upstream, run.At)...)
}

// News returns the suspicions that changed after a number, in the order of their changes, and the number
// of the last one that is included. Where there are more than most, some of those with several crashes
// follow ahead of their turn: a mass crash makes a suspect of everything that ran.
func (b *Book) News(after uint64, most int) ([]wire.Suspicion, uint64) {
	if after >= b.changes.Load() {
		return nil, after
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	changed, last := b.changedAfter(after, most, now)
	list := make([]wire.Suspicion, 0, len(changed))
	for _, c := range changed {
		list = append(list, c.tracker.encode(now, c.entry, after))
	}
	return list, last
}

// Merge merges suspicions of a peer and returns those that were new.
func (b *Book) Merge(suspicions []wire.Suspicion) []wire.Suspicion {
	isPart := func(s wire.Suspicion) bool { return s.Part }
	parts := slices.DeleteFunc(slices.Clone(suspicions), func(s wire.Suspicion) bool { return !isPart(s) })
	contents := slices.DeleteFunc(slices.Clone(suspicions), isPart)
	news := b.Parts.Merge(parts)
	for i := range news {
		news[i].Part = true
	}
	return append(b.Contents.Merge(contents), news...)
}

const (
	// maxSerious is the number of suspects that Serious returns beside what is refused.
	maxSerious = 64
	// seriousAfter is the time from the first crash until a suspect is serious: most are cleared sooner.
	seriousAfter = 300 * time.Millisecond
)

// Serious returns what is refused, and then the suspects with several crashes, those with most of them first:
// what routers must still know after all of them have restarted.
func (b *Book) Serious() []wire.Suspicion {
	refused, suspects := b.Contents.serious()
	refusedParts, suspectParts := b.Parts.serious()
	return slices.Concat(refused, refusedParts, suspects, suspectParts)
}

func (l *List) serious() (refused, suspects []wire.Suspicion) {
	if l.Empty() {
		return nil, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now, limit := time.Now(), l.tracker.config.CrashLimit
	for _, e := range l.tracker.entries(now) {
		switch n := l.tracker.countOf(now, e); {
		case n >= limit:
			refused = append(refused, l.tracker.encode(now, e, 0))
		case n > 1 && now.Sub(e.crashes[0].at) >= seriousAfter:
			suspects = append(suspects, l.tracker.encode(now, e, 0))
		}
	}
	slices.SortFunc(refused, compareSuspicions)
	slices.SortFunc(suspects, compareSuspicions)
	return refused, suspects[:min(len(suspects), maxSerious)]
}

// compareSuspicions orders suspicions by their number of crashes, the most first, and parts then by their depth.
func compareSuspicions(a, b wire.Suspicion) int {
	return cmp.Or(cmp.Compare(len(b.Crashes), len(a.Crashes)), cmp.Compare(b.Depth, a.Depth), cmp.Compare(a.Content, b.Content))
}
