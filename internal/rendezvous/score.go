// Package rendezvous ranks names for keys, so that all who know the same names agree on an order
// without a word, and a name that comes or goes moves only its own keys.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Score ranks a name for a key; the largest score is the first.
func Score(key uint64, name string) uint64 {
	h := key ^ xxhash.Sum64String(name)
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
