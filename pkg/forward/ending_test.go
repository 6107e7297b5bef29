package forward

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

const endingHead = "HTTP/1.1 200 OK\r\nRequest-Id: one\r\n"

// Guards against answers of which nobody can say afterwards what ended them.
func TestAnswersTellWhatEndedThem(t *testing.T) {
	for name, c := range map[string]struct {
		sent    string
		reset   bool
		framing Framing
		ending  Ending
	}{
		"length":                {sent: "Content-Length: 5\r\n\r\nhello", framing: FramedByLength, ending: EndedByLength},
		"length of zero":        {sent: "Content-Length: 0\r\n\r\n", framing: FramedByLength, ending: EndedByLength},
		"length not reached":    {sent: "Content-Length: 5\r\n\r\nhell", framing: FramedByLength, ending: EndedShort},
		"chunks":                {sent: "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", framing: FramedByChunks, ending: EndedByChunk},
		"chunks without a last": {sent: "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", framing: FramedByChunks, ending: EndedShort},
		"chunks of garbage":     {sent: "Transfer-Encoding: chunked\r\n\r\nzz\r\nhello\r\n", framing: FramedByChunks, ending: EndedBadly},
		"close":                 {sent: "\r\nhello", framing: FramedByClose, ending: EndedByClose},
		"nothing and a close":   {sent: "\r\n", framing: FramedByClose, ending: EndedByClose},
		"reset":                 {sent: "\r\nhello", reset: true, framing: FramedByClose, ending: EndedByReset},
		"reset of chunks":       {sent: "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", reset: true, framing: FramedByChunks, ending: EndedByReset},
	} {
		t.Run(name, func(t *testing.T) {
			read := make(chan struct{})
			in := fakeUpstream(t, func(conn net.Conn, r *bufio.Reader) {
				readRequest(r)
				io.WriteString(conn, endingHead+c.sent)
				if c.reset {
					<-read
					conn.(*net.TCPConn).SetLinger(0)
				}
			})
			a, err := do(t, NewPools(idHeader), get(in, "one"))
			require.NoError(t, err)
			defer a.Close()
			require.Empty(t, a.Ending)
			if c.reset {
				_, err := io.ReadFull(a, make([]byte, len("hello")))
				require.NoError(t, err)
				close(read)
			}
			io.ReadAll(a)
			require.Equal(t, c.framing, a.Framing)
			require.Equal(t, c.ending, a.Ending)
		})
	}
}

// Guards against a call that was ended here and is told of as the upstream's close.
func TestAnAbortedAnswerTellsWhoEndedIt(t *testing.T) {
	in := fakeUpstream(t, func(conn net.Conn, r *bufio.Reader) {
		readRequest(r)
		io.WriteString(conn, endingHead+"\r\nhello")
		readRequest(r)
	})
	c := get(in, "one")
	c.Abort = new(Abort)
	a, err := do(t, NewPools(idHeader), c)
	require.NoError(t, err)
	defer a.Close()
	_, err = io.ReadFull(a, make([]byte, len("hello")))
	require.NoError(t, err)
	c.Abort.Now()
	_, err = io.ReadAll(a)
	require.ErrorIs(t, err, ErrAborted)
	require.Equal(t, EndedHere, a.Ending)
}

// Guards against an upstream that is blamed for an answer whose call ends while it is confirmed.
func TestACallThatEndsWhileItsAnswerIsConfirmedTellsWhoEndedIt(t *testing.T) {
	in := fakeUpstream(t, func(conn net.Conn, r *bufio.Reader) {
		readRequest(r)
		io.WriteString(conn, endingHead+"\r\nhello")
	})
	ctx, cancel := context.WithCancel(t.Context())
	a, err := NewPools(idHeader).Do(ctx, get(in, "one"))
	require.NoError(t, err)
	defer a.Close()
	a.body = io.NopCloser(io.MultiReader(a.body, &cancels{cancel: cancel}))
	_, err = io.ReadAll(a)
	require.ErrorIs(t, err, ErrAborted)
	require.Equal(t, EndedHere, a.Ending)
}

// cancels ends a call as its answer ends.
type cancels struct{ cancel context.CancelFunc }

func (c *cancels) Read([]byte) (int, error) {
	c.cancel()
	return 0, io.EOF
}
