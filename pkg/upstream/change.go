package upstream

// Change is one step of the list of instances: Instance as it is now, or only its ID
// when Gone.
type Change struct {
	Instance Instance
	Gone     bool
}
