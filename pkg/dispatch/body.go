package dispatch

import "bytes"

// onceBody is a request body that the transport can't rewind.
//
// When a kept-alive connection is closed by the upstream just as the request goes out,
// net/http sends the request again by itself if it has no body, or a body with GetBody,
// and a method or an Idempotency-Key that make it look idempotent. The upstream may have
// run the first copy: the call would run twice behind one verdict. A body of a type of
// our own, also for an empty one, has no GetBody and is neither nil nor http.NoBody, so
// the transport has nothing to replay.
type onceBody struct{ bytes.Reader }

func newOnceBody(b []byte) *onceBody {
	o := new(onceBody)
	o.Reset(b)
	return o
}

// Close does nothing.
func (*onceBody) Close() error { return nil }
