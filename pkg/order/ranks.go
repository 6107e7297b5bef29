package order

// Ranks says who should order an engine, by rendezvous over the live members.
type Ranks interface {
	// Rank is this router's place for the upstream, 0 for the first. ok is false when
	// this router is not a member.
	Rank(upstream string) (rank int, ok bool)
}

// maxRank is the last rank that looks at an engine at all.
const maxRank = 2
