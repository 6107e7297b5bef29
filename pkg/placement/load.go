package placement

// Load is the work in progress on one instance.
type Load struct {
	// Running is the number of requests that were sent and have not ended.
	Running int
	// Unread is the number of prompt tokens that wait to be prefilled.
	Unread int
	// Memory is the number of KV cache tokens that the running requests hold or will hold.
	Memory int
	// Fragile is the weight of the running streams that a long pause would make late. Streams that
	// are late already don't count.
	Fragile int
	// Long is the number of prompts waiting for a prefill that causes such a pause.
	Long int
}

func (l Load) plus(o Load) Load {
	return Load{Running: l.Running + o.Running, Unread: l.Unread + o.Unread, Memory: l.Memory + o.Memory,
		Fragile: l.Fragile + o.Fragile, Long: l.Long + o.Long}
}
