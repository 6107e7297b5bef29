package load

import (
	"math"
	"math/rand/v2"

	"gonum.org/v1/gonum/stat/distuv"
)

// Lengths describes how long answers are, in tokens: many short ones, a few long
// ones, none outside [Least, Most].
type Lengths struct {
	Least, Most int
	// Alpha is the shape of a Pareto distribution; 0 takes the log-normal one.
	Alpha float64
	// Median and Sigma are those of the log-normal distribution.
	Median, Sigma float64
}

// sampler draws lengths from a seeded source. Values over Most are drawn again, so
// that Most isn't the commonest of all.
func (l Lengths) sampler(src rand.Source) func() int {
	draw := distuv.LogNormal{Mu: math.Log(l.Median), Sigma: l.Sigma, Src: src}.Rand
	if l.Alpha > 0 {
		draw = distuv.Pareto{Xm: float64(l.Least), Alpha: l.Alpha, Src: src}.Rand
	}
	return func() int {
		for {
			n := int(draw())
			if n >= l.Least && n <= l.Most {
				return n
			}
		}
	}
}
