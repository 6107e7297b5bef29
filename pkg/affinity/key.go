package affinity

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

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

// hashPair hashes two strings; the length of the first keeps different pairs apart.
func hashPair(a, b string) uint64 {
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(a)))
	h := xxhash.New()
	_, _ = h.Write(length[:]) // never fails
	_, _ = h.WriteString(a)
	_, _ = h.WriteString(b)
	return h.Sum64()
}
