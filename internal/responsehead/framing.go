package responsehead

import (
	"bufio"
	"bytes"
	"net/textproto"
)

// Framing is the part of a head that tells where its response ends.
const Framing Part = "framing"

// oldVersion begins a head of HTTP/1.0.
var oldVersion = []byte("HTTP/1.0")

// FramingCheck finds heads of HTTP/1.0 with the field Transfer-Encoding, whose framing is faulty (RFC 9112, section
// 6.1). net/http drops the field, and takes the chunks for the body. The zero value is ready for the first head.
type FramingCheck struct {
	// head holds what was read of a head of HTTP/1.0, and possibly bytes behind it.
	head []byte
	// skipped says that the head is one of another version, or has been checked.
	skipped bool
}

// Reset begins the check of the next head.
func (c *FramingCheck) Reset() { c.head, c.skipped = c.head[:0], false }

// Read takes the next bytes of the head. Those beyond limit are left out.
func (c *FramingCheck) Read(b []byte, limit int) {
	if c.skipped || len(b) == 0 {
		return
	}
	if n := min(len(b), len(oldVersion)-len(c.head)); n > 0 && !bytes.Equal(b[:n], oldVersion[len(c.head):len(c.head)+n]) {
		c.skipped = true
		return
	}
	c.head = append(c.head, b[:min(len(b), max(0, limit-len(c.head)))]...)
}

// Skip makes the check hold nothing until the next head.
func (c *FramingCheck) Skip() { c.head, c.skipped = nil, true }

// Check returns a *MalformedError if the head that was read has a faulty framing.
func (c *FramingCheck) Check() error {
	if c.skipped || len(c.head) < len(oldVersion) {
		return nil
	}
	r := textproto.NewReader(bufio.NewReader(bytes.NewReader(c.head)))
	if _, err := r.ReadLine(); err != nil {
		return nil
	}
	// A head that isn't sound was refused by net/http.
	fields, _ := r.ReadMIMEHeader()
	if codings := fields["Transfer-Encoding"]; len(codings) > 0 {
		return malformed(Framing, codings[0])
	}
	return nil
}
