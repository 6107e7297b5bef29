package pace

import "math"

const (
	// shortContext is the context, in tokens, up to which a token takes the usual time; each
	// further class of contexts is twice as long.
	shortContext   = 8 << 10
	contextClasses = 4
	// scaleWeight is the weight of a new measurement in a class.
	scaleWeight = 0.05
	// maxScale bounds the scale of a class.
	maxScale = 3.0
)

// contextScale is the prefill time of a long prompt's token over that of a short prompt's one, by
// classes of context length.
type contextScale struct {
	logScale [contextClasses]float64
}

func classOf(context int) int {
	class := 0
	for limit := shortContext; context > limit && class < contextClasses-1; limit *= 2 {
		class++
	}
	return class
}

// scale is the factor by which a token takes longer in a prompt with that context.
func (s *contextScale) scale(context int) float64 { return math.Exp(s.logScale[classOf(context)]) }

// observe learns from the ratio of a prompt's measured to its expected prefill time, corrected for
// the engine's slowness. Short prompts define the usual speed and change nothing.
func (s *contextScale) observe(context int, ratio float64) {
	class := classOf(context)
	if class == 0 {
		return
	}
	s.logScale[class] += scaleWeight * math.Log(ratio)
	s.logScale[class] = min(math.Log(maxScale), max(0, s.logScale[class]))
}
