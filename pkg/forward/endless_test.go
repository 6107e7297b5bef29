package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
)

// testTimeout ends a call whose response never ends if no bound does, as a route's timeout would.
const testTimeout = 3 * time.Second

// endless sends start, then part again and again until the connection is closed. part may hold one %d,
// for a number that grows.
func endless(start, part string) connScript {
	return func(c net.Conn, r *bufio.Reader) {
		if readRequest(r) == nil {
			return
		}
		sendEndless(c, start, part)
	}
}

func sendEndless(c net.Conn, start, part string) {
	w := bufio.NewWriterSize(c, 32<<10)
	if _, err := io.WriteString(w, start); err != nil {
		return
	}
	for i := 0; ; i++ {
		text := part
		if strings.Contains(part, "%d") {
			text = fmt.Sprintf(part, i)
		}
		if _, err := io.WriteString(w, text); err != nil {
			return
		}
	}
}

// endlessHeads are the forms of a head that never ends.
var endlessHeads = map[string]connScript{
	"status line":   endless("HTTP/1.1 200 ", strings.Repeat("O", 100)),
	"one header":    endless("HTTP/1.1 200 OK\r\nX-Fill: ", strings.Repeat("f", 100)),
	"many headers":  endless("HTTP/1.1 200 OK\r\n", "X-Fill-%d: f\r\n"),
	"empty headers": endless("HTTP/1.1 200 OK\r\n", "%d:\r\n"),
	"folded header": endless("HTTP/1.1 200 OK\r\nX-Fill: f\r\n", " "+strings.Repeat("f", 1000)+"\r\n"),
	"spaces":        endless("HTTP/1.1 200 OK\r\nX-Fill: f\r\n", strings.Repeat(" ", 100)),
	"no HTTP":       endless("", strings.Repeat("\x00", 100)),
	"one interim":   endless("HTTP/1.1 103 Early Hints\r\nLink: ", strings.Repeat("f", 100)),
	"long interims": endless("", "HTTP/1.1 103 Early Hints\r\nLink: "+strings.Repeat("f", 8000)+"\r\n\r\n"),
}

// Guards against a response head without end, which would fill the router's memory.
func TestDoEndsHeadsWithoutEnd(t *testing.T) {
	linesFirst := map[string]bool{"many headers": true, "empty headers": true}
	for name, script := range endlessHeads {
		t.Run(name, func(t *testing.T) {
			in := fakeUpstream(t, script)
			ps := NewPools(idHeader)
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			_, err := ps.Do(ctx, get(in, "one"))
			want := "head: response head exceeds 65536 bytes"
			if linesFirst[name] {
				want = "head: response head exceeds 512 lines"
			}
			require.EqualError(t, err, want)
			var failed *Error
			require.True(t, errors.As(err, &failed))
			require.True(t, failed.Sent, "the upstream may have run the request")
			require.LessOrEqual(t, ps.Traffic().Received, int64(64<<10))
			require.NoError(t, ctx.Err(), "ended by the deadline")
		})
	}
}

// Guards against interim responses without end, each of which is short.
func TestDoEndsInterimResponsesWithoutEnd(t *testing.T) {
	in := fakeUpstream(t, endless("", "HTTP/1.1 103 Early Hints\r\n\r\n"))
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	_, err := NewPools(idHeader).Do(ctx, get(in, "one"))
	require.EqualError(t, err, "head: more than 16 interim responses")
	require.NoError(t, ctx.Err(), "ended by the deadline")
}
