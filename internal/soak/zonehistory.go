package soak

import (
	"slices"
	"time"
)

// evacuate evacuates a zone.
func (h *history) evacuate(zone string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.store.Put("op", "evacuate/"+zone, map[string]any{})
	h.evacuated[zone] = append(h.evacuated[zone], span{from: time.Now()})
}

// last reports whether just one evacuation of a zone lasts.
func (h *history) last(zone string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lasting(zone) == 1
}

func (h *history) lasting(zone string) int {
	n := 0
	for _, s := range h.evacuated[zone] {
		if s.to.IsZero() {
			n++
		}
	}
	return n
}

// restore ends the first evacuation of a zone that lasts; the zone is taken back with the last one.
func (h *history) restore(zone string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range h.evacuated[zone] {
		if s := &h.evacuated[zone][i]; s.to.IsZero() {
			s.to = time.Now()
			break
		}
	}
	if h.lasting(zone) == 0 {
		h.store.Drop("op", "evacuate/"+zone)
	}
}

// empty reports whether a zone was evacuated when a request was sent and when it ran, and for as
// long before as that takes to be in force.
func (h *history) empty(zone string, sent, ran time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.ContainsFunc(h.evacuated[zone], func(s span) bool {
		return sent.After(s.from.Add(evacuateTime+late)) && (s.to.IsZero() || ran.Before(s.to))
	})
}

// cools notes that an upstream is cold from now on.
func (h *history) cools(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	h.cold[id] = append(h.cold[id], span{from: now, to: now.Add(warmup)})
}

// coldAt reports whether an upstream is cold.
func (h *history) coldAt(id string, at time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.ContainsFunc(h.cold[id], func(s span) bool { return !at.Before(s.from) && at.Before(s.to) })
}

// coldSeconds gives the seconds in which an upstream was cold all through, with the number of
// arrivals in each. Seconds begin with an arrival.
func (h *history) coldSeconds(id string, arrivals []time.Time) []coldSecond {
	h.mu.Lock()
	defer h.mu.Unlock()
	arrivals = slices.Clone(arrivals)
	slices.SortFunc(arrivals, time.Time.Compare)
	var list []coldSecond
	for _, cold := range h.cold[id] {
		for i, from := range arrivals {
			if from.Before(cold.from) {
				continue
			}
			n := 0
			for _, at := range arrivals[i:] {
				if at.Sub(from) < time.Second && at.Before(cold.to) {
					n++
				}
			}
			list = append(list, coldSecond{from: from, arrivals: n})
		}
	}
	return list
}

// coldSecond is a second of an upstream's warm-up.
type coldSecond struct {
	from     time.Time
	arrivals int
}
