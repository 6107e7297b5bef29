// Package responsehead checks the heads of responses beyond what net/http does.
//
// net/http takes some heads that aren't those of an HTTP/1 response. It keeps a field whose name holds a blank, and
// then neither knows the field nor the framing that it declares.
package responsehead

import (
	"fmt"
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// maxQuoted is the length, in bytes, up to which an error quotes an upstream's text.
const maxQuoted = 40

// Part is a part of a head.
type Part string

// Parts of a head, as errors name them.
const (
	Version   Part = "version"
	Status    Part = "status"
	Reason    Part = "reason phrase"
	FieldName Part = "field name"
)

// MalformedError is the error of a head of which a part isn't that of an HTTP/1 response.
type MalformedError struct {
	Part Part
	// Text is the beginning of that part.
	Text string
}

// Error returns the part and its text.
func (e *MalformedError) Error() string {
	return fmt.Sprintf("malformed %s in a response's head: %q", e.Part, e.Text)
}

func malformed(p Part, text string) error {
	return &MalformedError{Part: p, Text: text[:min(len(text), maxQuoted)]}
}

// Check returns a *MalformedError if the head of resp isn't that of an HTTP/1 response (RFC 9112) to a request that
// asks for no other protocol. The status may be that of an interim response, or of no class that HTTP defines: that
// counts as a server's error (RFC 9110, section 15).
func Check(resp *http.Response) error {
	switch {
	case resp.ProtoMajor != 1:
		return malformed(Version, resp.Proto)
	case resp.StatusCode < http.StatusContinue || resp.StatusCode == http.StatusSwitchingProtocols:
		return malformed(Status, resp.Status)
	case strings.ContainsFunc(resp.Status, isControl):
		return malformed(Reason, resp.Status)
	}
	return CheckNames(resp.Header)
}

// CheckNames returns a *MalformedError if the name of a field isn't a token.
func CheckNames(fields map[string][]string) error {
	for name := range fields {
		if !httpguts.ValidHeaderFieldName(name) {
			return malformed(FieldName, name)
		}
	}
	return nil
}

// isControl reports whether r is a control character that no reason phrase may hold.
func isControl(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }
