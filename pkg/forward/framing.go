package forward

import "net/http"

// Framing is how an answer tells where its body ends.
type Framing string

// Framings of answers.
const (
	// FramedByHead: the status or the method allows no body.
	FramedByHead Framing = "head"
	// FramedByLength: Content-Length.
	FramedByLength Framing = "length"
	// FramedByChunks: Transfer-Encoding, up to the last chunk.
	FramedByChunks Framing = "chunks"
	// FramedByClose: nothing but the end of the connection.
	FramedByClose Framing = "close"
)

func framingOf(resp *http.Response) Framing {
	switch {
	case resp.Body == http.NoBody && resp.ContentLength <= 0:
		return framingOfNone(resp)
	case len(resp.TransferEncoding) > 0:
		return FramedByChunks
	case resp.ContentLength >= 0:
		return FramedByLength
	}
	return FramedByClose
}

// framingOfNone tells an answer whose length is zero from one that can't have a body.
func framingOfNone(resp *http.Response) Framing {
	if resp.ContentLength == 0 && resp.Header.Get("Content-Length") != "" {
		return FramedByLength
	}
	return FramedByHead
}
