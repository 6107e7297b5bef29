package order

import (
	"maps"
	"time"
)

// drift remembers since when engines differ from their declarations, and when the next
// try is due. It is decision code: its owner calls it from one goroutine.
type drift struct {
	engines map[string]drifting
}

type drifting struct {
	declared  uint64
	since     time.Time
	notBefore time.Time
	tries     int
}

// Backoff after a try that didn't lead to the declared state.
const (
	retryMin = time.Second
	retryMax = time.Minute
)

// seen records one look at an engine. due says whether a router of this rank should
// act: the first at once, the others when those before them had their time.
func (d *drift) seen(now time.Time, upstream string, declared uint64, satisfied bool, rank int, patience time.Duration) (due bool) {
	if satisfied {
		delete(d.engines, upstream)
		return false
	}
	e, ok := d.engines[upstream]
	if !ok || e.declared != declared {
		e = drifting{declared: declared, since: now}
	}
	if d.engines == nil {
		d.engines = make(map[string]drifting)
	}
	d.engines[upstream] = e
	return now.Sub(e.since) >= time.Duration(rank)*patience && !now.Before(e.notBefore)
}

// keepOnly drops the engines that are no longer this router's care.
func (d *drift) keepOnly(targets []target) {
	kept := make(map[string]bool, len(targets))
	for _, t := range targets {
		kept[t.upstream.Name] = true
	}
	maps.DeleteFunc(d.engines, func(upstream string, _ drifting) bool { return !kept[upstream] })
}

// tried sets the time before which no other try is due: a backoff, but at least wait.
func (d *drift) tried(now time.Time, upstream string, wait time.Duration) {
	e, ok := d.engines[upstream]
	if !ok {
		return
	}
	backoff := min(retryMin<<min(e.tries, 10), retryMax)
	e.notBefore = now.Add(max(wait, backoff))
	e.tries++
	d.engines[upstream] = e
}
