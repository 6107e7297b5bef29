package affinity

// Statement is what a router tells others of the software versions of services.
type Statement struct {
	Versions []SeenVersion `cbor:"1,keyasint,omitempty"`
	// WatchedMs is for how long, in milliseconds, no version can have served without being known;
	// SinceFounding says that this holds since the fleet first started. Both are as of CurrentAgeMs ago.
	WatchedMs     int64 `cbor:"2,keyasint,omitempty"`
	SinceFounding bool  `cbor:"3,keyasint,omitempty"`
	CurrentAgeMs  int64 `cbor:"4,keyasint,omitempty"`
}

// SeenVersion is a version that served lately.
type SeenVersion struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Version string
	// AgeMs is how long ago it was last listed, in milliseconds.
	AgeMs int64
	// Open says that streams may begin there.
	Open bool
}

// Limits on what is accepted from another router.
const (
	maxSeenVersions = 256
	maxNameBytes    = 200
)

func (v SeenVersion) valid() bool {
	return len(v.Service) <= maxNameBytes && len(v.Version) <= maxNameBytes && v.AgeMs >= 0
}
