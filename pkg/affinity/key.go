package affinity

import "github.com/cespare/xxhash/v2"

// Key identifies the caller's attempt that began a stream. It is a hash that covers the
// organisation, so that naming another organisation's attempt finds nothing.
type Key uint64

// KeyOf returns the key of an attempt.
func KeyOf(organisation, requestID string) Key { return Key(hashPair(organisation, requestID)) }

// VersionID identifies a software version of a service.
type VersionID uint32

// unknownVersion is no version.
const unknownVersion VersionID = 0

// VersionIDOf returns the identity of a version of a service; it is never 0.
func VersionIDOf(service, version string) VersionID {
	return max(1, VersionID(hashPair(service, version)))
}

// pairFactor is odd, so that no bit of the first hash is lost.
const pairFactor = 0x9e3779b97f4a7c15

// hashPair hashes two strings; it depends on their order.
func hashPair(a, b string) uint64 { return xxhash.Sum64String(a)*pairFactor + xxhash.Sum64String(b) }
