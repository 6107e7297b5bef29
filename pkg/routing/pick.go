package routing

// Pick chooses the service for a request by the targets' weights. draw is a number in [0, 1) that
// is fixed for a request, so that all its attempts use the same service. Targets of weight 0 get no
// requests as long as another has a weight.
func (r *Route) Pick(draw float64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total == 0 {
		if len(r.Targets) == 0 {
			return ""
		}
		return r.Targets[0].Service
	}
	left := draw * float64(total)
	for _, t := range r.Targets {
		left -= float64(t.Weight)
		if left < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}
