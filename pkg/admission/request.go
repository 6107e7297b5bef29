package admission

import (
	"bytes"
	"net/textproto"
	"strconv"
)

// Delimiters of a request's framing.
var (
	headEnd   = []byte("\r\n\r\n")
	lineEnd   = []byte("\r\n")
	lastChunk = []byte("0\r\n\r\n")
)

// isCompleteRequest reports whether request, the first bytes of a connection, contains at least one
// complete request. When in doubt it returns false, which only keeps the connection open for
// longer.
func isCompleteRequest(request []byte) bool {
	end := bytes.Index(request, headEnd)
	if end < 0 {
		return false
	}
	body := request[end+len(headEnd):]
	length, chunked := framing(request[:end])
	if chunked {
		return bytes.HasSuffix(body, lastChunk)
	}
	return length >= 0 && len(body) >= length
}

// framing returns the declared length of the body that follows a header, negative when it is
// invalid, and whether the body is chunked.
func framing(header []byte) (length int, chunked bool) {
	for len(header) > 0 {
		var line []byte
		line, header, _ = bytes.Cut(header, lineEnd)
		name, value, _ := bytes.Cut(line, []byte(":"))
		if len(name) != len("Content-Length") && len(name) != len("Transfer-Encoding") {
			continue // skip most headers cheaply
		}
		switch textproto.CanonicalMIMEHeaderKey(string(name)) {
		case "Transfer-Encoding":
			chunked = true
		case "Content-Length":
			n, err := strconv.Atoi(string(bytes.TrimSpace(value)))
			if err != nil {
				return -1, chunked
			}
			length = n
		}
	}
	return length, chunked
}
