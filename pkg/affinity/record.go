package affinity

// Record says at which software version a stream began.
type Record struct {
	_       struct{} `cbor:",toarray"`
	Key     Key
	Version VersionID
}
