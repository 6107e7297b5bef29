package dispatch

import (
	"bytes"
	"io"
)

// newUnreplayableBody returns a request body that the transport can't send twice.
//
// If the upstream closes a pooled connection just as the request is sent, net/http resends a
// request without a body, or with a GetBody function, whose method or Idempotency-Key makes it look
// idempotent. The upstream may have run the first copy, so that the call would run twice under one
// verdict. A body that is set even if it is empty, isn't http.NoBody and has no GetBody can't be
// replayed. (The gate would stop a second copy, too.) Header and body are still sent in one write,
// since the transport knows that this kind of reader is in memory.
func newUnreplayableBody(b []byte) io.ReadCloser { return io.NopCloser(bytes.NewReader(b)) }
