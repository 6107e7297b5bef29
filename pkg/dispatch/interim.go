package dispatch

import (
	"net/http/httptrace"
	"net/textproto"

	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/internal/responsehead"
)

// maxInterim is the number of interim (1xx) responses that may come before a response.
const maxInterim = 16

// newTrace returns the trace of a request whose connection gets the gate g. It ends the request if the interim
// responses before its response are malformed or too many: net/http doesn't bound those that a trace sees.
func newTrace(g *gate) *httptrace.ClientTrace {
	interim := 0
	return &httptrace.ClientTrace{
		GotConn: g.attach,
		Got1xxResponse: func(_ int, fields textproto.MIMEHeader) error {
			if interim++; interim > maxInterim {
				return errors.Errorf("more than %d interim responses", maxInterim)
			}
			return responsehead.CheckNames(fields)
		},
	}
}
