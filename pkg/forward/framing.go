package forward

import "net/http"

// Framing is how the end of a response's body is marked.
type Framing string

// Framings of responses.
const (
	// FramedByHeader: the status or the request's method allows no body.
	FramedByHeader Framing = "head"
	// FramedByLength: by Content-Length.
	FramedByLength Framing = "length"
	// FramedByChunks: by the last chunk of a chunked Transfer-Encoding.
	FramedByChunks Framing = "chunks"
	// FramedByClose: only by the end of the connection.
	FramedByClose Framing = "close"
)

func framingOf(resp *http.Response) Framing {
	switch {
	case resp.Body == http.NoBody && resp.ContentLength <= 0:
		return framingOfEmpty(resp)
	case len(resp.TransferEncoding) > 0:
		return FramedByChunks
	case resp.ContentLength >= 0:
		return FramedByLength
	}
	return FramedByClose
}

// framingOfEmpty distinguishes a response with a declared length of zero from one that can't have a
// body.
func framingOfEmpty(resp *http.Response) Framing {
	if resp.ContentLength == 0 && resp.Header.Get("Content-Length") != "" {
		return FramedByLength
	}
	return FramedByHeader
}
