package dispatch

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// Guards against taking the next process at the address of a crashed one for it, as a router that stood still does.
func TestTheNextProcessConfirmsNoResponse(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		in, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, in.Body)
		_, _ = io.WriteString(c, strings.ReplaceAll(headerOK, "ID", in.Header.Get(HeaderAttempt))+"\r\nhel") // of "hello"; the process crashes here
		_ = c.Close()
		for {
			next, err := l.Accept()
			if err != nil {
				return
			}
			_ = next.Close() // another process, which knows nothing of it
		}
	}()
	d := New(testLimits())
	defer d.Close()
	r := d.Do(t.Context(), &fakeSlot{url: "http://" + l.Addr().String()}, &Call{Method: http.MethodPost, Body: []byte("x")}, new(fakeSink))
	if r.Err == nil {
		t.Fatalf("complete: status %d, body %q", r.Status, r.Body)
	}
}
