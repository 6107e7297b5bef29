package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxAhead is the number of serious suspicions that are sent ahead of others which changed before them.
	maxAhead = 64
	// overviewMaxAge is how long an overview of more entries than a report holds is used though some have changed.
	overviewMaxAge = 20 * time.Millisecond
)

// change is an entry with the number of its last change, as of an overview, and what it is an entry of.
type change struct {
	*entry
	tracker *tracker
	number  uint64
}

// overview has the entries of both lists in order, for reports to any number of peers.
type overview struct {
	// changed are all entries in the order of their changes, up to number last.
	changed []change
	last    uint64
	// serious are those with several crashes, those with most of them first, and of these the deepest parts, which are
	// blamed first. The newest come before others.
	serious []change
	madeAt  time.Time
}

// changedAfter returns up to most of the entries that changed after a number, some serious ones that follow them, and
// the number of the last one of the former.
func (b *Book) changedAfter(after uint64, most int, now time.Time) ([]change, uint64) {
	b.look(most, now)
	first, _ := slices.BinarySearchFunc(b.overview.changed, after+1, func(c change, number uint64) int { return cmp.Compare(c.number, number) })
	changed := b.overview.changed[first:]
	if len(changed) <= most {
		return changed, max(after, b.overview.last)
	}
	list, last := slices.Clone(changed[:most]), changed[most-1].number
	for _, c := range b.overview.serious {
		if len(list) == most+maxAhead {
			break
		}
		if c.number > last {
			list = append(list, c)
		}
	}
	return list, last
}

// look renews the overview if entries have changed. One of more than most entries is renewed now and then only: there
// may be tens of thousands of them, and reports to many peers.
func (b *Book) look(most int, now time.Time) {
	o, last := &b.overview, b.changes.Load()
	if age := now.Sub(o.madeAt); o.last == last || len(o.changed) > most && age >= 0 && age < overviewMaxAge {
		return
	}
	*o = overview{last: last, madeAt: now}
	for _, t := range []*tracker{b.Contents.tracker, b.Parts.tracker} {
		for _, e := range t.entries(now) {
			c := change{entry: e, tracker: t, number: e.changed}
			o.changed = append(o.changed, c)
			if len(e.crashes) > 1 {
				o.serious = append(o.serious, c)
			}
		}
	}
	slices.SortFunc(o.changed, func(x, y change) int { return cmp.Compare(x.number, y.number) })
	slices.SortFunc(o.serious, func(x, y change) int {
		return cmp.Or(cmp.Compare(len(y.crashes), len(x.crashes)), cmp.Compare(y.depth, x.depth), cmp.Compare(y.number, x.number))
	})
}
