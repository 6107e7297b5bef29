package gateway

import "github.com/cespare/xxhash/v2"

const (
	// maxLoggedParts bounds the parts of one prompt that a line of the log names.
	maxLoggedParts = 32
	// partScopes is the number of hashes of a part: for all services, and for one.
	partScopes = 2
)

// partHashes identifies the parts of the prompt that other requests may share, whatever comes before them: each one
// by itself, and then with its service. A part may crash the upstreams of all services, or of one while it is sound
// at another; where both would explain the crashes, the later hash, that with the service, is blamed.
func (r *request) partHashes() []uint64 {
	if r.parts != nil || r.meta.Prompt == nil || r.service == nil {
		return r.parts
	}
	shared := r.meta.Prompt.SharedParts()
	r.parts = make([]uint64, 0, partScopes*len(shared))
	h := xxhash.New()
	for _, part := range shared {
		h.Reset()
		_, _ = h.WriteString(part.ID) // never fails
		r.parts = append(r.parts, h.Sum64())
		_, _ = h.Write([]byte{0})
		_, _ = h.WriteString(r.service.Name)
		r.parts = append(r.parts, h.Sum64())
	}
	return r.parts
}

// loggedParts returns the hashes of the first parts.
func (r *request) loggedParts() []string {
	parts := r.partHashes()
	parts = parts[:min(len(parts), partScopes*maxLoggedParts)]
	list := make([]string, 0, len(parts))
	for _, part := range parts {
		list = append(list, FormatSubject(part))
	}
	return list
}
