package catalog

// Revision identifies a state of the store: its era, which is how often the store was restored from a copy, and a
// version, which grows with each transaction but is only comparable within an era. Revisions are ordered by era
// first. The zero value is before every state.
//
// Both are in one number, so that routers exchange and compare revisions as they do without eras; in the first era, and
// for a store that names none, it is the version.
type Revision int64

const (
	versionBits = 40
	firstEra    = 1
	maxVersion  = 1<<versionBits - 1
	// MaxEra is the highest era that a Revision can hold.
	MaxEra = 1 << 22
)

// NewRevision returns the revision of a version in an era; 0 stands for an era that is not known.
func NewRevision(era, version int64) Revision {
	era = min(max(era, firstEra), MaxEra)
	return Revision((era-firstEra)<<versionBits | min(max(version, 0), maxVersion))
}

// Era returns the era, firstEra for a store that names none.
func (r Revision) Era() int64 { return int64(r)>>versionBits + firstEra }

// Version returns the version within the era.
func (r Revision) Version() int64 { return int64(r) & maxVersion }

// Back returns the revision a number of versions earlier, or the first one of the same era.
func (r Revision) Back(versions int64) Revision {
	return NewRevision(r.Era(), max(1, r.Version()-versions))
}
