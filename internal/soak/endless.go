package soak

import "github.com/flamingowind/flamingowind/platform/platformtest"

// ofEndless are faults of upstreams whose answers have no end.
var ofEndless = map[string]action{
	"upstream_endless_heads":  behave(platformtest.Behaviour{EndlessHead: 0.5, Delay: sound.Delay, Pause: sound.Pause}),
	"upstream_endless_bodies": behave(platformtest.Behaviour{EndlessBody: 0.5, Delay: sound.Delay, Pause: sound.Pause}),
}

// endlessEvery is the number of other faults for each of ofEndless.
const endlessEvery = 8

// planEndless gives those faults of a seed, beside all others.
func planEndless(o Options) []fault { return planApart(o, ofEndless, 7, endlessEvery) }
