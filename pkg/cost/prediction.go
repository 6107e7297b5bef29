package cost

import "github.com/flamingowind/flamingowind/pkg/wire"

// Prediction is the expected cost of one request.
type Prediction struct {
	// Units is the predicted cost.
	Units wire.Units
	// Base is what the prediction would have been without a hint.
	Base wire.Units
	// Hint is the hint that was used; 0 when there was none worth using.
	Hint wire.Units
}
