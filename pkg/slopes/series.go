package slopes

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Point is one measured value.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Series is one figure against one size, with the line through it.
type Series struct {
	Name string `json:"name"`
	// X and Y name the axes with their units.
	X      string  `json:"x"`
	Y      string  `json:"y"`
	Points []Point `json:"points"`
	// Intercept and Slope are the line's; Spread is the standard deviation of the
	// points around it, in the unit of Y.
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	Spread    float64 `json:"spread"`
	R2        float64 `json:"r2"`
}

// fit sets the line by least squares; a single point is a line without slope.
func (s *Series) fit() {
	xs, ys := s.axes()
	if len(xs) < 2 || stat.Variance(xs, nil) == 0 {
		s.Intercept = stat.Mean(ys, nil)
		return
	}
	s.Intercept, s.Slope = stat.LinearRegression(xs, ys, nil, false)
	residuals := make([]float64, len(xs))
	for i := range xs {
		residuals[i] = ys[i] - s.At(xs[i])
	}
	s.Spread = stat.PopStdDev(residuals, nil)
	if r2 := stat.RSquared(xs, ys, nil, s.Intercept, s.Slope); !math.IsNaN(r2) {
		s.R2 = r2
	}
}

func (s *Series) axes() (xs, ys []float64) {
	for _, p := range s.Points {
		xs = append(xs, p.X)
		ys = append(ys, p.Y)
	}
	return xs, ys
}

// At gives the line's value at x.
func (s *Series) At(x float64) float64 { return s.Intercept + s.Slope*x }
