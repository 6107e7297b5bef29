package gateway

import "github.com/cespare/xxhash/v2"

// hashFraction maps a request ID to a number in [0,1), the same on every router.
func hashFraction(id string) float64 { return float64(xxhash.Sum64String(id)>>11) / (1 << 53) }
