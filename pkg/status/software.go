package status

// Software is a software version of a service.
type Software struct {
	Service string `json:"service"`
	Version string `json:"version"`
	// Upstreams and Slots are those that are listed as ready.
	Upstreams int `json:"upstreams"`
	Slots     int `json:"slots"`
	// AgeMs is how long ago it was last listed, in milliseconds.
	AgeMs int64 `json:"ageMs"`
	// Open is whether streams may begin there; others may still go on there.
	Open bool `json:"open"`
}
