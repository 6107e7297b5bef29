package telemetry

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// The log's reader is slow and lines are dropped. A line that came in parts would lose
// its middle, and look like another one.
func TestTextLinesAreWrittenWhole(t *testing.T) {
	out := new(chunks)
	l, err := NewLog(out, "info", "text")
	require.NoError(t, err)
	l.WithField("cell", "a").WithField("router", "r").Info("keeping cell")
	require.Len(t, out.writes, 1)
	require.Regexp(t, "keeping cell.*cell.*=a.*router.*=r\n$", out.writes[0])
}
