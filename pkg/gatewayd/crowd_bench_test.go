package gatewayd

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/flamingowind/flamingowind/platform/platformtest"
)

// crowdVariable makes the test's program play the callers and the engine of benchmarks.
const crowdVariable = "GATEWAYD_BENCH_CROWD"

const (
	// modeNew makes each request on a connection of its own, modeKept on kept ones. modeIdle
	// opens connections and sends the beginning of a request on each.
	modeNew  = "new"
	modeKept = "kept"
	modeIdle = "idle"
	// crowdCallers is how many requests there are at a time.
	crowdCallers = 8
	// crowdBody is the size of a request's body, in bytes.
	crowdBody = 8 << 10
	// crowdHead is how much of its request an idle connection brings, in bytes.
	crowdHead = 100
	// crowdEvents and crowdPause are the events of an answer and the pause between two.
	crowdEvents = 4
	crowdPause  = 2 * time.Millisecond
	// crowdTimeout ends a benchmark whose router doesn't answer.
	crowdTimeout = 20 * time.Second
)

func TestMain(m *testing.M) {
	if os.Getenv(crowdVariable) != "" {
		playCrowd()
		return
	}
	os.Exit(m.Run())
}

// playCrowd tells the engine's address, then does one order a line: ADDRESS MODE REQUESTS.
func playCrowd() {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	engine := &http.Server{Handler: http.HandlerFunc(playEngine)}
	go engine.Serve(l)
	fmt.Println(l.Addr())
	orders := bufio.NewScanner(os.Stdin)
	for orders.Scan() {
		words := strings.Fields(orders.Text())
		n, err := strconv.Atoi(words[2])
		if err != nil {
			panic(err)
		}
		if words[1] == modeIdle {
			fmt.Println(playIdle(words[0], n))
			continue
		}
		fmt.Println(playCallers(words[0], words[1], n))
	}
}

func playEngine(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // a router that breaks off is no fault here
	platformtest.StreamHead(w.Header(), r)
	for i := range crowdEvents {
		fmt.Fprintf(w, "id: %d\ndata: tokens tokens tokens tokens tokens\n\n", i+1)
		http.NewResponseController(w).Flush()
		time.Sleep(crowdPause)
	}
}

// idle are the connections that playIdle opened, until the process ends.
var idle []net.Conn

// playIdle opens n connections and gives the number of those that it could open.
func playIdle(addr string, n int) int {
	for i := range n {
		c, err := net.DialTimeout("tcp", addr, crowdTimeout)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return i
		}
		if _, err := c.Write(crowdRequest[:crowdHead]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return i
		}
		idle = append(idle, c)
	}
	return n
}

// playCallers makes n requests and gives the number of those that were answered.
func playCallers(addr, mode string, n int) int64 {
	var left, answered atomic.Int64
	left.Store(int64(n))
	var all sync.WaitGroup
	for range crowdCallers {
		all.Go(func() {
			c := caller{addr: addr, keep: mode == modeKept}
			for left.Add(-1) >= 0 {
				if err := c.ask(); err != nil {
					fmt.Fprintln(os.Stderr, err)
					continue
				}
				answered.Add(1)
			}
		})
	}
	all.Wait()
	return answered.Load()
}

type caller struct {
	addr string
	keep bool
	conn net.Conn
	in   *bufio.Reader
}

// crowdRequest is what every caller sends.
var crowdRequest = platformtest.RawRequest(crowdBody)

func (c *caller) ask() error {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.addr, crowdTimeout)
		if err != nil {
			return err
		}
		c.conn, c.in = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(crowdTimeout))
	if _, err := c.conn.Write(crowdRequest); err != nil {
		return err
	}
	answer, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return err
	}
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		return err
	}
	if !c.keep || answer.Close {
		c.conn.Close()
		c.conn = nil
	}
	return nil
}
