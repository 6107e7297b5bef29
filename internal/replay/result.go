package replay

// Result is how the requests of one organisation went.
type Result struct {
	InTime, Late, Refused int
	// Paused is how many of the late ones stood still for too long.
	Paused int
	// Again is how many tokens of shared parts were read that some engine kept.
	Again int
	// TurnedAway is how often engines turned one away.
	TurnedAway int
	// Opened is how many of the requests opened a connection.
	Opened int
}

func (r *Result) add(o Result) {
	r.InTime += o.InTime
	r.Late += o.Late
	r.Refused += o.Refused
	r.Paused += o.Paused
	r.Again += o.Again
	r.Opened += o.Opened
	r.TurnedAway += o.TurnedAway
}
