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

// loadGeneratorVariable makes the test binary run the callers and the engine of benchmarks.
const loadGeneratorVariable = "GATEWAYD_BENCH_CROWD"

const (
	// modeNew sends each request on a new connection, modeKept on kept ones. modeIdle opens
	// connections and sends the beginning of a request on each.
	modeNew  = "new"
	modeKept = "kept"
	modeIdle = "idle"
	// generatorCallers is the number of concurrent requests.
	generatorCallers = 8
	// requestBodySize is the size of a request's body, in bytes.
	requestBodySize = 8 << 10
	// partialRequestSize is the size of the partial request on an idle connection, in bytes.
	partialRequestSize = 100
	// responseEvents is the number of events in a response, eventPause the pause between two.
	responseEvents = 4
	eventPause     = 2 * time.Millisecond
	// generatorTimeout ends a benchmark whose router doesn't respond.
	generatorTimeout = 20 * time.Second
)

func TestMain(m *testing.M) {
	if os.Getenv(loadGeneratorVariable) != "" {
		runLoadGenerator()
		return
	}
	os.Exit(m.Run())
}

// runLoadGenerator prints the engine's address, then runs one command per line: ADDRESS MODE REQUESTS.
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
	_, _ = io.Copy(io.Discard, r.Body) // a router that aborts is not an error here
	platformtest.StreamHead(w.Header(), r)
	for i := range responseEvents {
		fmt.Fprintf(w, "id: %d\ndata: tokens tokens tokens tokens tokens\n\n", i+1)
		http.NewResponseController(w).Flush()
		time.Sleep(eventPause)
	}
}

// idleConns holds the connections that openIdleConns opened, until the process ends.
var idleConns []net.Conn

// openIdleConns opens n connections and returns the number of successes.
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

// sendRequests sends n requests and returns the number of those that got a response.
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

// rawRequest is the request that every caller sends.
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
