package gateway

import "github.com/cespare/xxhash/v2"

// maxLoggedParts bounds the parts of one prompt that a line of the log names.
const maxLoggedParts = 32

// partHashes identifies the parts of the prompt that other requests may share, whatever comes before
// them. The same part has different hashes at different services: callers choose the parts' IDs.
func (r *request) partHashes() []uint64 {
	if r.parts != nil || r.meta.Prompt == nil || r.service == nil {
		return r.parts
	}
	shared := r.meta.Prompt.SharedParts()
	r.parts = make([]uint64, 0, len(shared))
	h := xxhash.New()
	for _, part := range shared {
		h.Reset()
		_, _ = h.WriteString(r.service.Name) // never fails
		_, _ = h.Write([]byte{0})
		_, _ = h.WriteString(part.ID)
		r.parts = append(r.parts, h.Sum64())
	}
	return r.parts
}

// loggedParts returns the hashes of the first parts.
func (r *request) loggedParts() []string {
	parts := r.partHashes()
	parts = parts[:min(len(parts), maxLoggedParts)]
	list := make([]string, 0, len(parts))
	for _, part := range parts {
		list = append(list, FormatSubject(part))
	}
	return list
}
