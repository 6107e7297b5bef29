package edge

import "github.com/cespare/xxhash/v2"

// prefixBytes of a prompt are hashed to find engines that may have them cached.
const prefixBytes = 256

// contentHash names a whole request; equal requests to one pool have equal hashes.
func contentHash(pool, method, path string, body []byte) uint64 {
	d := xxhash.New()
	for _, part := range []string{pool, method, path} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	return d.Sum64()
}

func prefixHash(prompt string) uint64 {
	return xxhash.Sum64String(prompt[:min(len(prompt), prefixBytes)])
}
