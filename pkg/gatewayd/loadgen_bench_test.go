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

// loadGeneratorVariable makes the test's program play the callers and the engine of benchmarks.
const loadGeneratorVariable = "GATEWAYD_BENCH_CROWD"

const (
	// modeNew makes each request on a connection of its own, modeKept on kept ones. modeIdle
	// opens connections and sends the beginning of a request on each.
	modeNew  = "new"
	modeKept = "kept"
	modeIdle = "idle"
	// generatorCallers is how many requests there are at a time.
	generatorCallers = 8
	// requestBodySize is the size of a request's body, in bytes.
	requestBodySize = 8 << 10
	// partialRequestSize is how much of its request an idle connection brings, in bytes.
	partialRequestSize = 100
	// responseEvents and eventPause are the events of a response and the pause between two.
	responseEvents = 4
	eventPause     = 2 * time.Millisecond
	// generatorTimeout ends a benchmark whose router doesn't answer.
	generatorTimeout = 20 * time.Second
)

func TestMain(m *testing.M) {
	if os.Getenv(loadGeneratorVariable) != "" {
		runLoadGenerator()
		return
	}
	os.Exit(m.Run())
}

// runLoadGenerator tells the engine's address, then does one order a line: ADDRESS MODE REQUESTS.
func runLoadGenerator() {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	engine := &http.Server{Handler: http.HandlerFunc(serveEngine)}
	go engine.Serve(l)
	fmt.Println(l.Addr())
	commands := bufio.NewScanner(os.Stdin)
	for commands.Scan() {
		args := strings.Fields(commands.Text())
		n, err := strconv.Atoi(args[2])
		if err != nil {
			panic(err)
		}
		if args[1] == modeIdle {
			fmt.Println(openIdleConns(args[0], n))
			continue
		}
		fmt.Println(sendRequests(args[0], args[1], n))
	}
}

func serveEngine(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // a router that breaks off is no fault here
	platformtest.StreamHead(w.Header(), r)
	for i := range responseEvents {
		fmt.Fprintf(w, "id: %d\ndata: tokens tokens tokens tokens tokens\n\n", i+1)
		http.NewResponseController(w).Flush()
		time.Sleep(eventPause)
	}
}

// idleConns are the connections that openIdleConns opened, until the process ends.
var idleConns []net.Conn

// openIdleConns opens n connections and gives the number of those that it could open.
func openIdleConns(addr string, n int) int {
	for i := range n {
		c, err := net.DialTimeout("tcp", addr, generatorTimeout)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return i
		}
		if _, err := c.Write(rawRequest[:partialRequestSize]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return i
		}
		idleConns = append(idleConns, c)
	}
	return n
}

// sendRequests makes n requests and gives the number of those that were answered.
func sendRequests(addr, mode string, n int) int64 {
	var left, answered atomic.Int64
	left.Store(int64(n))
	var all sync.WaitGroup
	for range generatorCallers {
		all.Go(func() {
			c := caller{addr: addr, keep: mode == modeKept}
			for left.Add(-1) >= 0 {
				if err := c.do(); err != nil {
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

// rawRequest is what every caller sends.
var rawRequest = platformtest.RawRequest(requestBodySize)

func (c *caller) do() error {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.addr, generatorTimeout)
		if err != nil {
			return err
		}
		c.conn, c.in = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(generatorTimeout))
	if _, err := c.conn.Write(rawRequest); err != nil {
		return err
	}
	response, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return err
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if !c.keep || response.Close {
		c.conn.Close()
		c.conn = nil
	}
	return nil
}
