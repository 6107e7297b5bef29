package upstream

// Change is one change of the instance list: the new state of an instance or, when Gone, the
// removal of the instance with its ID.
type Change struct {
	Instance Instance
	Gone     bool
}
