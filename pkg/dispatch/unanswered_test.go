package dispatch

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"testing"
)

// Guards against a request that a partition holds up and that runs after it was given up.
func TestARequestThatIsGivenUpUnansweredIsReset(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	ctx, cancel := context.WithCancel(t.Context())
	ending := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			ending <- err
			return
		}
		defer c.Close()
		buf := make([]byte, 4<<10)
		_, err = c.Read(buf)
		cancel()
		for err == nil {
			_, err = c.Read(buf)
		}
		ending <- err
	}()
	d := New(testLimits())
	defer d.Close()
	d.Do(ctx, &fakeSlot{url: "http://" + l.Addr().String()}, &Call{Method: http.MethodPost}, nil)
	if err := <-ending; !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the connection ended with %v", err)
	}
}
