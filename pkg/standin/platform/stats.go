package platform

// Stats counts calls since the start, as GET /admin/stats shows them.
type Stats struct {
	// Reads and Writes took effect.
	Reads  uint64 `json:"reads"`
	Writes uint64 `json:"writes"`
	// Conflicts are transactions whose guard failed.
	Conflicts uint64 `json:"conflicts"`
	// Refusals were turned away before anything (outage, rate limit).
	Refusals uint64 `json:"refusals"`
	// LostAnswers are writes that took effect and were never answered.
	LostAnswers uint64 `json:"lostAnswers"`
	// WeightOpens are granted openings of weight files.
	WeightOpens uint64 `json:"weightOpens"`
	// WeightRefusals are those refused by their rate, WeightsHeld those held so far.
	WeightRefusals uint64 `json:"weightRefusals"`
	WeightsHeld    uint64 `json:"weightsHeld"`
}
