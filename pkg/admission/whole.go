package admission

import (
	"bytes"
	"net/textproto"
	"strconv"
)

// Marks of a request's framing.
var (
	headEnd  = []byte("\r\n\r\n")
	lineEnd  = []byte("\r\n")
	lastPart = []byte("0\r\n\r\n")
)

// isWhole reports whether request, the first bytes on a connection, is at least one whole request.
// In doubt it says no: such a connection is only kept open for longer.
func isWhole(request []byte) bool {
	end := bytes.Index(request, headEnd)
	if end < 0 {
		return false
	}
	body := request[end+len(headEnd):]
	length, chunked := framing(request[:end])
	if chunked {
		return bytes.HasSuffix(body, lastPart)
	}
	return length >= 0 && len(body) >= length
}

// framing gives the declared length of the body that follows a head, negative when it can't be
// read, and whether the body comes in chunks.
func framing(head []byte) (length int, chunked bool) {
	for len(head) > 0 {
		var line []byte
		line, head, _ = bytes.Cut(head, lineEnd)
		name, value, _ := bytes.Cut(line, []byte(":"))
		if len(name) != len("Content-Length") && len(name) != len("Transfer-Encoding") {
			continue // most lines
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
