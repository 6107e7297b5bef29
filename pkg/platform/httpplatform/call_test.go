package httpplatform

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A tutor's save is written, the kept connection breaks, and the HTTP library replays
// the write. The save is refused as a copy of itself. The library replays only what
// it can rewind, or what carries an idempotency key.
func TestWriteCannotBeReplayed(t *testing.T) {
	c, err := New("http://127.0.0.1:1", time.Second)
	require.NoError(t, err)
	write := call{method: http.MethodPost, path: "/table/txn", body: []byte("{}")}
	req, err := c.request(t.Context(), write, new(atomic.Bool))
	require.NoError(t, err)
	require.Nil(t, req.GetBody)
	require.NotNil(t, req.Body)
	require.Empty(t, req.Header)
}
