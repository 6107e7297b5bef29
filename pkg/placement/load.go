package placement

// Load is the work in progress on one instance.
type Load struct {
	// Running is the number of requests that were sent and have not ended.
	Running int
	// PrefillTokens is the number of prompt tokens that wait to be prefilled.
	PrefillTokens int
	// KVTokens is the number of KV cache tokens that the running requests hold or will hold.
	KVTokens int
	// PauseWeight is the weight of the running streams that a long pause would make late. Streams
	// that are late already don't count.
	PauseWeight int
	// LongPrompts is the number of prompts waiting for a prefill that causes such a pause.
	LongPrompts int
}

func (l Load) plus(o Load) Load {
	return Load{Running: l.Running + o.Running, PrefillTokens: l.PrefillTokens + o.PrefillTokens, KVTokens: l.KVTokens + o.KVTokens,
		PauseWeight: l.PauseWeight + o.PauseWeight, LongPrompts: l.LongPrompts + o.LongPrompts}
}
