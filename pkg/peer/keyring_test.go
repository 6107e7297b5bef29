package peer

import (
	"context"
	"crypto/x509"
	"os"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/peer/devcert"
)

// Guards against peers that are cut off as the file of the authorities is just being written: up to
// some certificate it is sound, and lacks the authority of others.
func TestAuthoritiesAreNotTakenWhileTheirFileIsWritten(t *testing.T) {
	const step, every = 50 * time.Millisecond, time.Second
	old, next := newAuthority(t, "old"), newAuthority(t, "next")
	for begun := time.Duration(0); begun < every; begun += step {
		synctest.Test(t, func(t *testing.T) { writeInSteps(t, old, next, begun, step, every) })
	}
}

// writeInSteps has a keyring watch its files while that of the authorities is written, from begun on.
func writeInSteps(t *testing.T, old, next *devcert.Authority, begun, step, every time.Duration) {
	files, err := old.Issue(t.TempDir(), "a")
	require.NoError(t, err)
	k, err := newKeyring(files.Cert, files.Key, files.CA, &log.Logger{Handler: discard.New()}, new(atomic.Uint64))
	require.NoError(t, err)
	taken := 0
	ctx, end := context.WithCancel(t.Context())
	defer end()
	go k.watch(ctx, every, func() { taken++ })
	synctest.Wait()
	time.Sleep(begun)
	for _, pem := range [][]byte{nil, next.PEM, append(next.PEM[:len(next.PEM):len(next.PEM)], old.PEM...)} {
		require.NoError(t, os.WriteFile(files.CA, pem, 0o600))
		time.Sleep(step)
	}
	time.Sleep(every)
	synctest.Wait()
	require.Equal(t, 1, taken, "written from %v on", begun)
	both := x509.NewCertPool()
	require.True(t, both.AppendCertsFromPEM(next.PEM) && both.AppendCertsFromPEM(old.PEM))
	require.True(t, k.current.Load().pool.Equal(both))
}
