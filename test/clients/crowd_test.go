package clients_test

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/flamingowind/flamingowind/internal/waiting"
)

const (
	// stands is how long a crowd keeps its connections before it is looked at.
	stands = 4 * time.Second
	// dialTimeout bounds a client's connecting: where nobody accepts it, it gives up.
	dialTimeout = 10 * time.Second
	// comeBack is the pause of a client that returns.
	comeBack = 10 * time.Millisecond
	// deafBuffer is the receive buffer, in bytes, of a client that reads nothing.
	deafBuffer = 4 << 10
)

// crowd is a number of clients that send and keep their connections open.
type crowd struct {
	leaves context.CancelFunc
	all    sync.WaitGroup
}

// clients is what a crowd consists of.
type clients struct {
	addr   string
	number int
	shape  func(client int) shape
	// returning clients connect again when their connection is closed.
	returning bool
	// deaf clients read nothing of what is sent to them.
	deaf bool
}

// come has the clients connect all at once.
func (c clients) come(t *testing.T) *crowd {
	ctx, leaves := context.WithCancel(t.Context())
	crowd := &crowd{leaves: leaves}
	for i := range c.number {
		crowd.all.Go(func() {
			for c.one(ctx, c.shape(i)); c.returning && waiting.For(ctx, comeBack); {
				c.one(ctx, c.shape(i))
			}
		})
	}
	t.Cleanup(crowd.leave)
	return crowd
}

// one is a client from its connecting until its connection is closed or the crowd leaves.
func (c clients) one(ctx context.Context, send shape) {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", c.addr)
	if err != nil {
		return
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	if c.deaf {
		_ = conn.(*net.TCPConn).SetReadBuffer(deafBuffer) // without it only more is sent
		_ = send(conn)                                    // the router may close
		<-ctx.Done()
		return
	}
	go func() { _ = send(conn) }()   // ends with the connection
	_, _ = io.Copy(io.Discard, conn) // until the router closes
}

// leave ends all clients.
func (c *crowd) leave() {
	c.leaves()
	c.all.Wait()
}
