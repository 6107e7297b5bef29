package ctl

import (
	"bytes"
	"context"
	"testing"

	"github.com/stretchr/testify/require"
)

// An engineer on call types the command of the page. With any number of logs it must tell
// the story; without a request's id it must say how it is used.
func TestExplainTakesLogs(t *testing.T) {
	const log = "../explain/testdata/broken.log"
	run := func(args ...string) (int, string) {
		var out, err bytes.Buffer
		code := Run(context.Background(), append([]string{"explain"}, args...), &out, &err, func(string) string { return "" })
		return code, out.String() + err.String()
	}
	for _, logs := range [][]string{{log}, {log, "../explain/testdata/full.log"}} {
		code, text := run(append([]string{"8b155dff176ba47b"}, logs...)...)
		require.Zero(t, code, text)
		require.Contains(t, text, "Request 8b155dff176ba47b")
		require.Contains(t, text, "upstream_failed")
	}
	code, text := run()
	require.Equal(t, 2, code)
	require.Contains(t, text, "explain REQUEST-ID")
}
