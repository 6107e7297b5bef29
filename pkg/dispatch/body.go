package dispatch

import (
	"bytes"
	"io"
)

// newUnreplayableBody makes a request body that the transport can't rewind.
//
// When a kept-alive connection is closed by the upstream just as the request goes out,
// net/http sends the request again by itself if it has no body, or a body with GetBody,
// and a method or an Idempotency-Key that make it look idempotent. The upstream may have
// run the first copy: the call would run twice behind one verdict. A body that is there
// also when it is empty, is not http.NoBody, and comes without GetBody gives the transport
// nothing to replay. (The gate would stop a second copy too.) Head and body still go out
// in one write, since the transport knows this kind of reader to be in memory.
func newUnreplayableBody(b []byte) io.ReadCloser { return io.NopCloser(bytes.NewReader(b)) }
