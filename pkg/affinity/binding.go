package affinity

// Binding says at which version of a service a stream has to go on.
type Binding struct {
	Service string
	Version string
	Source  Source
}

// Source says how a version is known.
type Source string

// Sources of a version.
const (
	// OwnRecord is the record of a stream that this router began, OthersRecord one that another router
	// sent, StoredRecord one that was in the store when this router started, AskedRecord one that another router
	// had when it was asked.
	OwnRecord    Source = "own_record"
	OthersRecord Source = "others_record"
	StoredRecord Source = "stored_record"
	AskedRecord  Source = "asked_record"
	// SoleVersion is the only version of the service, AskedSole the same as another router knows it.
	SoleVersion Source = "sole_version"
	AskedSole   Source = "asked_sole_version"
	// Unknown is the source of no version.
	Unknown Source = "unknown"
	// Elsewhere says that a record names a version of none of the route's services.
	Elsewhere Source = "elsewhere"
)
