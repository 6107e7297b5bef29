package placement

import "time"

const (
	// minFetchTokens is the number of tokens from which on fetching is considered: two blocks of an
	// engine's KV cache, as partial blocks aren't cached.
	minFetchTokens = 32
	// transferSetup is the fixed time of a transfer.
	transferSetup = 5 * time.Millisecond
	// crossZoneFactor is how many times longer a transfer between availability zones takes.
	crossZoneFactor = 2
	// transferWeight is the cost of a millisecond of transfer, relative to one of waiting.
	transferWeight = 1.0
	// copyWeight is the cost of a millisecond of prefill that a transfer saves. A second copy
	// displaces other cached prompts, which then have to be recomputed: without this cost 564
	// thousand tokens were recomputed, with it 253 thousand, on 18 engines without faults.
	copyWeight = 1.5
)

// holders are the candidates that have a prefix of the prompt in their KV cache.
type holders struct {
	sources []Candidate
	// maxCached is the most tokens that any candidate has cached. The rest must be prefilled in any
	// case.
	maxCached int
}

func findHolders(candidates []Candidate) holders {
	var h holders
	for _, c := range candidates {
		h.maxCached = max(h.maxCached, c.Cached)
		if c.Confirmed >= minFetchTokens {
			h.sources = append(h.sources, c)
		}
	}
	return h
}

// bestFetch returns the engine from which c should fetch the tokens that it lacks, and the duration
// of the transfer; nil when prefilling them is as good. Only engines of c's software version are
// considered: what another version has computed need not fit, and engines don't check it.
func (h holders) bestFetch(req Request, c Candidate, speed Speed) (time.Duration, *Candidate) {
	if !req.AllowFetch || req.Service.Engine.LinkBitsPerSecond <= 0 {
		return 0, nil
	}
	var best *Candidate
	for i := range h.sources {
		holder := &h.sources[i]
		if holder.Instance.ID != c.Instance.ID && holder.Instance.Software == c.Instance.Software && (best == nil || betterHolder(*holder, *best, c)) {
			best = holder
		}
	}
	if best == nil || best.Confirmed-c.Cached < minFetchTokens {
		return 0, nil
	}
	missing := best.Confirmed - c.Cached
	duration := transferTime(req, missing, best.Instance.Zone != c.Instance.Zone)
	if float64(duration) > recomputeWeight*float64(c.slowed(speed.prefillTime(scaleTokens(missing, req.Scale)))) {
		return 0, nil
	}
	return duration, best
}

// betterHolder reports whether a is a better source for c than b: it has cached more, is in c's
// availability zone, or has fewer running requests.
func betterHolder(a, b, c Candidate) bool {
	if a.Confirmed != b.Confirmed {
		return a.Confirmed > b.Confirmed
	}
	aSameZone, bSameZone := a.Instance.Zone == c.Instance.Zone, b.Instance.Zone == c.Instance.Zone
	if aSameZone != bSameZone {
		return aSameZone
	}
	return a.Load.Running < b.Load.Running
}

func transferTime(req Request, tokens int, crossZone bool) time.Duration {
	engine := req.Service.Engine
	const bitsPerByte = 8
	seconds := float64(tokens) * engine.KVTokenBytes * bitsPerByte / engine.LinkBitsPerSecond
	if crossZone {
		seconds *= crossZoneFactor
	}
	return transferSetup + time.Duration(seconds*float64(time.Second))
}
