package devfleet

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
)

// Sizes of a relayed TCP connection's buffer, in each direction.
const (
	relayChunk = 32 << 10
	relayQueue = 64 // chunks
)

// TCPRelay forwards connections to a target. While it is cut, bytes are held back
// and nothing is reset, as in a network partition; after Heal they go on.
type TCPRelay struct {
	// requests holds what goes to the target, answers what comes back.
	requests, answers *gate

	listener net.Listener
	target   string
	done     chan struct{}

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// chunk is what was read at one moment; it is written at due.
type chunk struct {
	data []byte
	due  time.Time
	// broken says that the connection ended otherwise than in order.
	broken bool
}

// NewTCPRelay listens on listen and forwards to target.
func NewTCPRelay(listen, target string) (*TCPRelay, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, errors.Annotate(err, "listen for relay")
	}
	r := &TCPRelay{
		requests: newGate(), answers: newGate(), listener: l, target: target,
		done: make(chan struct{}), conns: make(map[net.Conn]struct{}),
	}
	go r.accept()
	return r, nil
}

// Addr returns the relay's own address.
func (r *TCPRelay) Addr() string { return r.listener.Addr().String() }

// Cut holds back everything until Heal.
func (r *TCPRelay) Cut() {
	r.requests.Cut()
	r.answers.Cut()
}

// CutAnswers holds back what comes from the target: the link works one way.
func (r *TCPRelay) CutAnswers() { r.answers.Cut() }

// Heal opens the link again.
func (r *TCPRelay) Heal() {
	r.requests.Heal()
	r.answers.Heal()
}

// SetDelay delays what arrives from now on by d, in each direction.
func (r *TCPRelay) SetDelay(d time.Duration) {
	r.requests.SetDelay(d)
	r.answers.SetDelay(d)
}

// Break closes all connections, as a host that dies does.
func (r *TCPRelay) Break() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.Close()
	}
}

// Reset resets all connections: what is on its way is lost, and both ends are told.
func (r *TCPRelay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

// Close ends the relay and its connections.
func (r *TCPRelay) Close() {
	close(r.done)
	_ = r.listener.Close()
	r.Break()
}

func (r *TCPRelay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(conn)
	}
}

func (r *TCPRelay) serve(conn net.Conn) {
	r.track(conn)
	defer r.untrack(conn)
	if !r.waitOpen(r.requests) {
		return
	}
	up, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	r.track(up)
	defer r.untrack(up)
	var both sync.WaitGroup
	both.Go(func() { r.copy(up, conn, r.requests) })
	both.Go(func() { r.copy(conn, up, r.answers) })
	both.Wait()
}

// copy forwards one direction until either side ends, then closes dst for writing. An end that isn't in
// order is passed on as a reset: dst would take what it has for whole.
func (r *TCPRelay) copy(dst, src net.Conn, g *gate) {
	chunks := make(chan chunk, relayQueue)
	go r.read(src, chunks, g)
	for c := range chunks {
		if !r.waitUntil(c.due) || !r.waitOpen(g) {
			break
		}
		if c.broken {
			_ = dst.(*net.TCPConn).SetLinger(0)
			_ = dst.Close()
			break
		}
		if _, err := dst.Write(c.data); err != nil {
			break
		}
	}
	if t, ok := dst.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
	_ = src.(*net.TCPConn).CloseRead()
	for range chunks { // let the reader end
	}
}

func (r *TCPRelay) read(src net.Conn, chunks chan<- chunk, g *gate) {
	defer close(chunks)
	for {
		buf := make([]byte, relayChunk)
		n, err := src.Read(buf)
		if n > 0 {
			_, delay := g.state()
			chunks <- chunk{data: buf[:n], due: time.Now().Add(delay)}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				chunks <- chunk{due: time.Now(), broken: true}
			}
			return
		}
	}
}

func (r *TCPRelay) waitOpen(g *gate) bool {
	opened, _ := g.state()
	select {
	case <-opened:
		return true
	case <-r.done:
		return false
	}
}

func (r *TCPRelay) waitUntil(due time.Time) bool {
	wait := time.Until(due)
	if wait <= 0 {
		return true
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.done:
		return false
	}
}

func (r *TCPRelay) track(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[c] = struct{}{}
}

func (r *TCPRelay) untrack(c net.Conn) {
	_ = c.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}
