package ctl

import (
	"net"

	"github.com/juju/errors"
)

// dialFailed says that no byte of the request can have left: the connection was
// never made. Any later failure may have come after the router got the request.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
