package affinity

import "github.com/cespare/xxhash/v2"

// Key identifies the caller's attempt that began a stream. It is a hash that covers the
// organisation, so that naming another organisation's attempt finds nothing.
type Key uint64

// KeyOf returns the key of an attempt.
func KeyOf(organisation, requestID string) Key { return Key(hashPair(organisation, requestID)) }

// Software identifies a software version of a service.
type Software uint32

// unknownSoftware is no version.
const unknownSoftware Software = 0

// SoftwareOf returns the identity of a version of a service; it is never 0.
func SoftwareOf(service, version string) Software {
	return max(1, Software(hashPair(service, version)))
}

// pairFactor is odd, so that no bit of the first hash is lost.
const pairFactor = 0x9e3779b97f4a7c15

// hashPair hashes two strings; it depends on their order.
func hashPair(a, b string) uint64 { return xxhash.Sum64String(a)*pairFactor + xxhash.Sum64String(b) }
