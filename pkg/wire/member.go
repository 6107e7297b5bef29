package wire

// MemberState is a router's state as its peers see it.
type MemberState uint8

// States of a member.
const (
	MemberAlive MemberState = iota
	MemberLeaving
	MemberSuspect
	MemberDead
)

// Member is one router in the membership gossip. Higher (Incarnation, State) wins.
type Member struct {
	ID          RouterID    `cbor:"1,keyasint"`
	Incarnation Incarnation `cbor:"2,keyasint"`
	State       MemberState `cbor:"3,keyasint,omitempty"`
	Zone        string      `cbor:"4,keyasint,omitempty"`
	PeerAddr    string      `cbor:"5,keyasint,omitempty"` // UDP address for peers
	EntryAddr   string      `cbor:"6,keyasint,omitempty"` // TCP address for callers
	// Version is the configuration version in force there.
	Version uint64 `cbor:"7,keyasint,omitempty"`
}

// Ping asks a peer whether it lives; it carries gossip.
type Ping struct {
	Nonce   uint64   `cbor:"1,keyasint"`
	Members []Member `cbor:"2,keyasint,omitempty"`
	Version uint64   `cbor:"3,keyasint,omitempty"`
	// Digest sums up the sender's live members; equal digests mean that no gossip is missing.
	Digest uint64 `cbor:"4,keyasint,omitempty"`
	// Ask names members that the sender hasn't heard of lately: has the receiver?
	Ask []RouterID `cbor:"5,keyasint,omitempty"`
}

// Heard says how long ago its sender heard a member directly, in milliseconds.
type Heard struct {
	ID    RouterID `cbor:"1,keyasint"`
	AgeMs uint32   `cbor:"2,keyasint,omitempty"`
}

// Pong answers a Ping.
type Pong struct {
	Nonce   uint64   `cbor:"1,keyasint"`
	Members []Member `cbor:"2,keyasint,omitempty"`
	Version uint64   `cbor:"3,keyasint,omitempty"`
	// ConfirmedMs is how long ago Version was last known to be the newest: read from
	// the table, or confirmed by another peer's Pong. The asker counts it from when it
	// *sent* the Ping, so a paused asker doesn't take an old answer for a fresh one.
	ConfirmedMs uint32 `cbor:"4,keyasint,omitempty"`
	// Confirmed is false when the peer never knew.
	Confirmed bool `cbor:"5,keyasint,omitempty"`
	// Marks are the leaving marks changed lately.
	Marks []UpstreamMark `cbor:"6,keyasint,omitempty"`
	// Digest is as in Ping; Heard answers Ping.Ask.
	Digest uint64  `cbor:"7,keyasint,omitempty"`
	Heard  []Heard `cbor:"8,keyasint,omitempty"`
}

// Suspicion says that upstreams crashed while they ran a request, or requests with a part in common.
type Suspicion struct {
	Content uint64 `cbor:"1,keyasint"`
	// Crashes are those since the content was last known to be sound. Fields 2 to 4 were counts of
	// earlier builds, which can't be merged.
	Crashes []Crash `cbor:"5,keyasint,omitempty"`
	// Sound is one more than the number of milliseconds since then; 0 for never.
	Sound int64 `cbor:"6,keyasint,omitempty"`
	// Part says that Content is a part of prompts, and not a whole request.
	Part bool `cbor:"7,keyasint,omitempty"`
	// Depth is the largest position of the part in prompts.
	Depth int `cbor:"8,keyasint,omitempty"`
}

// Crash is one crash of an upstream.
type Crash struct {
	// Upstream identifies the life of the upstream that ended.
	Upstream uint32 `cbor:"1,keyasint"`
	// AgeMs is how long ago the crash was seen, in milliseconds.
	AgeMs int64 `cbor:"2,keyasint,omitempty"`
	// Alone says that nothing else ran there.
	Alone bool `cbor:"3,keyasint,omitempty"`
}

// ConfigAsk asks a peer for configuration newer than Have.
type ConfigAsk struct {
	Have uint64 `cbor:"1,keyasint"`
}

// ConfigData carries a whole snapshot as encoded by pkg/resource, compressed.
type ConfigData struct {
	Version uint64 `cbor:"1,keyasint"`
	Data    []byte `cbor:"2,keyasint"`
}
