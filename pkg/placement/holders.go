package placement

import "time"

const (
	// leastFetch is the number of tokens from which on fetching is weighed: two blocks of an
	// engine's memory, as parts of blocks aren't kept.
	leastFetch = 32
	// transferSetup is the time that a transfer takes beside its bytes.
	transferSetup = 5 * time.Millisecond
	// farTransfer is how many times longer a transfer between availability zones takes.
	farTransfer = 2
	// transferWeight is what a millisecond of a transfer counts against one of waiting.
	transferWeight = 1.0
	// copyWeight is what a millisecond of reading that a transfer saves still counts: a second
	// copy takes memory in which other prompts are kept, which are then read again. Without it
	// 564 thousand tokens were read again on a calm day of 18 engines, 253 with it.
	copyWeight = 1.5
)

// holders are the candidates that are known to keep a part of a prompt.
type holders struct {
	list []Candidate
	// most is the most that any candidate keeps. What nobody keeps has to be read in any case.
	most int
}

func holdersAmong(candidates []Candidate) holders {
	var k holders
	for _, c := range candidates {
		k.most = max(k.most, c.Kept)
		if c.Settled >= leastFetch {
			k.list = append(k.list, c)
		}
	}
	return k
}

// fetch gives the engine from which c had best fetch what it lacks of a prompt, and how long
// the transfer takes; nil when reading is as good. It spares engines the reading of what others
// keep.
func (k holders) fetch(req Request, c Candidate, p Pace) (time.Duration, *Candidate) {
	if !req.Fetch || req.Service.Engine.LinkBitsPerSecond <= 0 {
		return 0, nil
	}
	var best *Candidate
	for i := range k.list {
		one := &k.list[i]
		if one.Instance.ID != c.Instance.ID && (best == nil || better(*one, *best, c)) {
			best = one
		}
	}
	if best == nil || best.Settled-c.Kept < leastFetch {
		return 0, nil
	}
	lacks := best.Settled - c.Kept
	took := transfer(req, lacks, best.Instance.Zone != c.Instance.Zone)
	if float64(took) > rereadWeight*float64(c.slow(p.reading(scaled(lacks, req.Scale)))) {
		return 0, nil
	}
	return took, best
}

// better reports whether one is a better holder for c than other: it keeps more, is in the
// same availability zone, or has less to do.
func better(one, other, c Candidate) bool {
	if one.Settled != other.Settled {
		return one.Settled > other.Settled
	}
	near, otherNear := one.Instance.Zone == c.Instance.Zone, other.Instance.Zone == c.Instance.Zone
	if near != otherNear {
		return near
	}
	return one.Load.Running < other.Load.Running
}

func transfer(req Request, tokens int, far bool) time.Duration {
	engine := req.Service.Engine
	const bitsPerByte = 8
	seconds := float64(tokens) * engine.KVTokenBytes * bitsPerByte / engine.LinkBitsPerSecond
	if far {
		seconds *= farTransfer
	}
	return transferSetup + time.Duration(seconds*float64(time.Second))
}
