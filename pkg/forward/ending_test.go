package forward

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

const headerStart = "HTTP/1.1 200 OK\r\nRequest-Id: one\r\n"

// Guards against responses whose ending is recorded wrongly or not at all.
func TestAnswersTellWhatEndedThem(t *testing.T) {
	for name, c := range map[string]struct {
		sent    string
		reset   bool
		framing Framing
		ending  Ending
	}{
		"length":             {sent: "Content-Length: 5\r\n\r\nhello", framing: FramedByLength, ending: EndedByLength},
		"length of zero":     {sent: "Content-Length: 0\r\n\r\n", framing: FramedByLength, ending: EndedByLength},
		"length not reached": {sent: "Content-Length: 5\r\n\r\nhell", framing: FramedByLength, ending: EndedEarly},
		"chunks":             {sent: "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", framing: FramedByChunks, ending: EndedByLastChunk},
		"no last chunk":      {sent: "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", framing: FramedByChunks, ending: EndedEarly},
		"malformed chunks":   {sent: "Transfer-Encoding: chunked\r\n\r\nzz\r\nhello\r\n", framing: FramedByChunks, ending: EndedMalformed},
		"close":              {sent: "\r\nhello", framing: FramedByClose, ending: EndedByClose},
		"empty until close":  {sent: "\r\n", framing: FramedByClose, ending: EndedByClose},
		"reset":              {sent: "\r\nhello", reset: true, framing: FramedByClose, ending: EndedByReset},
		"reset in chunks":    {sent: "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", reset: true, framing: FramedByChunks, ending: EndedByReset},
	} {
		t.Run(name, func(t *testing.T) {
			read := make(chan struct{})
			in := fakeUpstream(t, func(conn net.Conn, r *bufio.Reader) {
				readRequest(r)
				io.WriteString(conn, headerStart+c.sent)
				if c.reset {
					<-read
					conn.(*net.TCPConn).SetLinger(0)
				}
			})
			resp, err := do(t, NewPools(idHeader), get(in, "one"))
			require.NoError(t, err)
			defer resp.Close()
			require.Empty(t, resp.Ending)
			if c.reset {
				_, err := io.ReadFull(resp, make([]byte, len("hello")))
				require.NoError(t, err)
				close(read)
			}
			io.ReadAll(resp)
			require.Equal(t, c.framing, resp.Framing)
			require.Equal(t, c.ending, resp.Ending)
		})
	}
}

// Guards against recording a call that this router canceled as closed by the upstream.
func TestAnAbortedAnswerTellsWhoEndedIt(t *testing.T) {
	in := fakeUpstream(t, func(conn net.Conn, r *bufio.Reader) {
		readRequest(r)
		io.WriteString(conn, headerStart+"\r\nhello")
		readRequest(r)
	})
	c := get(in, "one")
	c.Abort = new(Abort)
	resp, err := do(t, NewPools(idHeader), c)
	require.NoError(t, err)
	defer resp.Close()
	_, err = io.ReadFull(resp, make([]byte, len("hello")))
	require.NoError(t, err)
	c.Abort.Trigger()
	_, err = io.ReadAll(resp)
	require.ErrorIs(t, err, ErrAborted)
	require.Equal(t, EndedByAbort, resp.Ending)
}

// Guards against blaming the upstream for a call that is canceled while its response is being
// confirmed.
func TestACallThatEndsWhileItsAnswerIsConfirmedTellsWhoEndedIt(t *testing.T) {
	in := fakeUpstream(t, func(conn net.Conn, r *bufio.Reader) {
		readRequest(r)
		io.WriteString(conn, headerStart+"\r\nhello")
	})
	ctx, cancel := context.WithCancel(t.Context())
	resp, err := NewPools(idHeader).Do(ctx, get(in, "one"))
	require.NoError(t, err)
	defer resp.Close()
	resp.body = io.NopCloser(io.MultiReader(resp.body, &cancelingReader{cancel: cancel}))
	_, err = io.ReadAll(resp)
	require.ErrorIs(t, err, ErrAborted)
	require.Equal(t, EndedByAbort, resp.Ending)
}

// cancelingReader cancels a call when its response ends.
type cancelingReader struct{ cancel context.CancelFunc }

func (c *cancelingReader) Read([]byte) (int, error) {
	c.cancel()
	return 0, io.EOF
}
