package soak

import "github.com/flamingowind/flamingowind/platform/platformtest"

// ofEndings are faults of upstreams whose answers only the connection's end ends.
var ofEndings = map[string]action{
	"upstream_unframed":        behave(platformtest.Behaviour{Unframed: 1, Delay: sound.Delay, Pause: sound.Pause}),
	"upstream_unframed_breaks": behave(platformtest.Behaviour{Unframed: 0.7, Broken: 0.5, Delay: sound.Delay, Pause: sound.Pause}),
}

// endingsEvery is the number of other faults for each of ofEndings.
const endingsEvery = 8

// planEndings gives those faults of a seed, beside all others.
func planEndings(o Options) []fault { return planApart(o, ofEndings, 4, endingsEvery) }
