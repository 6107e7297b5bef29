package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// report is a line that an engine writes about a request.
type report struct {
	Engine, What, Request string
	// Events is the number of the last event that was written, Planned that of the last one of the stream.
	Events, Planned int
	After           int
	Parts           string
	Unframed        bool
	At              time.Time
}

// engine is a sound engine: a process of its own that runs the requests meant for it.
type engine struct {
	id, software string
	pause        time.Duration
	// unframedEvery makes each answer of that number have neither a length nor chunks; 0 for none.
	unframedEvery int64
	// crashPart is the part of prompts that ends the process as it begins to write an answer.
	crashPart string
	// readRate is how fast bodies are read, in bytes a second; 0 for as fast as they come.
	readRate int64

	answers atomic.Int64
	leaving atomic.Bool
	mu      sync.Mutex
}

func runEngine(args []string) error {
	e := new(engine)
	flags := flag.NewFlagSet("engine", flag.ExitOnError)
	addr := flags.String("addr", "", "IP:port")
	flags.StringVar(&e.id, "id", "", "id of the engine")
	flags.StringVar(&e.software, "software", "1", "version of the software")
	flags.DurationVar(&e.pause, "pause", 0, "time between two events")
	flags.Int64Var(&e.unframedEvery, "unframed-every", 0, "each answer of that number is unframed")
	flags.Int64Var(&e.readRate, "read-rate", 0, "bytes a second of a body")
	flags.StringVar(&e.crashPart, "crash-part", "", "part that crashes the engine")
	if err := flags.Parse(args); err != nil {
		return err
	}
	leave := make(chan os.Signal, 1)
	signal.Notify(leave, syscall.SIGUSR1)
	go func() {
		<-leave
		e.leaving.Store(true)
	}()
	l, err := e.listen(*addr)
	if err != nil {
		return err
	}
	e.tell(report{What: "started"})
	return http.Serve(l, http.HandlerFunc(e.serve))
}

// tell writes one line, which is out before the engine goes on.
func (e *engine) tell(r report) {
	r.Engine, r.At = e.id, time.Now()
	line, err := json.Marshal(r)
	if err != nil {
		log.Fatal(err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	_, _ = os.Stdout.Write(append(line, '\n'))
}

func (e *engine) serve(w http.ResponseWriter, in *http.Request) {
	id := in.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if e.leaving.Load() {
		w.Header().Set("Server-Leaving", "1")
		w.Header().Set("Instance-Id", e.id)
	}
	if in.Header.Get("Expect-Instance") != e.id {
		w.Header().Set("Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	run := e.begin(in)
	if err := e.read(in.Body); err != nil {
		return
	}
	if e.crashPart != "" && strings.Contains(run.Parts, e.crashPart+":") {
		time.Sleep(crashDelay)
		run.What = "crashed"
		e.tell(run)
		os.Exit(1)
	}
	w.Header().Set("Server-Stamp", "stamp-"+id)
	if run.Planned == 0 {
		time.Sleep(e.pause)
		_, _ = io.WriteString(w, callAnswer)
		run.What = "ended"
		e.tell(run)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	out := io.Writer(flushing{w})
	if run.Unframed {
		c, err := unframed(w)
		if err != nil {
			return
		}
		defer c.Close()
		out = c
	}
	e.stream(in, out, run)
}

const (
	// crashDelay is the time from the start of a run to its first bytes.
	crashDelay = 20 * time.Millisecond
	callAnswer = "done\n"
)

// slowBuffer is the receive buffer of an engine that reads slowly, in bytes.
const slowBuffer = 64 << 10

func (e *engine) listen(addr string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		if e.readRate == 0 {
			return nil
		}
		var optionErr error
		err := raw.Control(func(fd uintptr) {
			optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, slowBuffer)
		})
		if err != nil {
			return err
		}
		return optionErr
	}}
	return config.Listen(context.Background(), "tcp", addr)
}

// read reads a body, at readRate if there is one.
func (e *engine) read(body io.Reader) error {
	if e.readRate == 0 {
		_, err := io.Copy(io.Discard, body)
		return err
	}
	step := e.readRate / readSteps
	for {
		n, err := io.CopyN(io.Discard, body, step)
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		time.Sleep(time.Duration(n) * time.Second / time.Duration(e.readRate))
	}
}

// readSteps is the number of reads a second.
const readSteps = 20

// begin records that a request runs.
func (e *engine) begin(in *http.Request) report {
	_, output, _ := strings.Cut(in.Header.Get("Token-Counts"), ",")
	planned, _ := strconv.Atoi(output) // none for a call
	after, _ := strconv.Atoi(in.Header.Get("Last-Event-Id"))
	n := e.answers.Add(1)
	run := report{What: "began", Request: in.Header.Get("Request-Id"), Planned: planned, After: after, Parts: in.Header.Get("Prefix-Hash"),
		Unframed: e.unframedEvery > 0 && n%e.unframedEvery == 0}
	e.tell(run)
	return run
}

// stream writes one event after the other; each is whole when it is written.
func (e *engine) stream(in *http.Request, out io.Writer, run report) {
	for run.Events = run.After + 1; run.Events <= run.Planned; run.Events++ {
		if _, err := fmt.Fprintf(out, "id: %d\ndata: %s %d\n\n", run.Events, e.software, run.Events); err != nil {
			return
		}
		if !run.Unframed && in.Context().Err() != nil {
			return
		}
		time.Sleep(e.pause)
	}
	run.Events, run.What = run.Planned, "ended"
	e.tell(run)
}

// unframed begins an answer that ends with its connection.
func unframed(w http.ResponseWriter) (net.Conn, error) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return nil, err
	}
	var head strings.Builder
	head.WriteString("HTTP/1.1 200 OK\r\n")
	_ = w.Header().Write(&head) // a strings.Builder doesn't fail
	head.WriteString("\r\n")
	if _, err := io.WriteString(c, head.String()); err != nil {
		_ = c.Close() // the write has failed
		return nil, err
	}
	return c, nil
}

// flushing sends what is written at once.
type flushing struct{ http.ResponseWriter }

// Write writes and sends b.
func (f flushing) Write(b []byte) (int, error) {
	n, err := f.ResponseWriter.Write(b)
	if err == nil {
		err = http.NewResponseController(f.ResponseWriter).Flush()
	}
	return n, err
}
