package experiment

// Key is what two plays must have in common to be compared.
type Key struct {
	// Site is the deployment, Day the load, Seed what was drawn.
	Site, Day string
	Seed      uint64
	// How holds whatever else changes a play, as its length or size.
	How string
}

// Play is one play of a day by one variant.
type Play struct {
	Key
	Variant string
	// Worth is the part of what callers are owed that they got, less what it cost.
	Worth float64
	// Broken is the number of rules that were broken.
	Broken int
}
