package telemetry

import (
	"io"

	"github.com/apex/log"
	"github.com/juju/errors"
)

// NewLog returns a logger that writes to w. form is "json" or "text".
func NewLog(w io.Writer, level, form string) (*log.Logger, error) {
	l, err := log.ParseLevel(level)
	if err != nil {
		return nil, errors.Annotatef(err, "log level %q", level)
	}
	var h log.Handler = newJSONHandler(w)
	if form == "text" {
		h = newWholeLines(w)
	}
	return &log.Logger{Handler: h, Level: l}, nil
}
