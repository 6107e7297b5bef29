package crowd_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/flamingowind/flamingowind/platform/platformtest"
)

const (
	// patience is how long callers wait.
	patience = time.Second
	// bodyBytes is the size of a long prompt's request.
	bodyBytes = 8 << 10
	// events is the length of each stream.
	events = 5
)

// outcome counts what the callers of one second got.
type outcome struct {
	sent, served, refused, lost int
}

// crowd sends requests, each on a connection of its own, and counts what becomes of them.
type crowd struct {
	name string
	addr string

	mu      sync.Mutex
	seconds []outcome
	// left is when callers went without an answer.
	left map[string]time.Time
}

func newCrowd(name, addr string, lasts time.Duration) *crowd {
	return &crowd{name: name, addr: addr, seconds: make([]outcome, int(lasts/time.Second)+1), left: make(map[string]time.Time)}
}

// rush sends perSecond requests a second, whatever becomes of them, until ctx ends.
func (c *crowd) rush(ctx context.Context, perSecond int) {
	pace := rate.NewLimiter(rate.Limit(perSecond), perSecond/20)
	began := time.Now()
	var all sync.WaitGroup
	for n := 0; pace.Wait(ctx) == nil; n++ {
		all.Go(func() { c.call(fmt.Sprintf("%s-%d", c.name, n), int(time.Since(began)/time.Second)) })
	}
	all.Wait()
}

// queue has callers that send one request after the other until ctx ends.
func (c *crowd) queue(ctx context.Context, callers int) {
	began := time.Now()
	var all sync.WaitGroup
	for i := range callers {
		all.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				c.call(fmt.Sprintf("%s-%d-%d", c.name, i, n), int(time.Since(began)/time.Second))
			}
		})
	}
	all.Wait()
}

func (c *crowd) call(id string, second int) {
	caller := platformtest.NewCaller()
	defer caller.Close()
	answer := caller.Send(context.Background(), platformtest.Call{ID: id, Addr: c.addr, Path: platformtest.PathStream, Key: key,
		Body: strings.Repeat("x", bodyBytes), Events: events, Wait: patience})
	c.mu.Lock()
	defer c.mu.Unlock()
	o := &c.seconds[min(second, len(c.seconds)-1)]
	o.sent++
	switch {
	case answer.Status == 200 && answer.Whole:
		o.served++
	case answer.Refused:
		o.refused++
	default:
		o.lost++
		c.left[id] = time.Now()
	}
}

// served is how many requests were served in all.
func (c *crowd) served() int {
	n := 0
	for _, o := range c.seconds {
		n += o.served
	}
	return n
}
