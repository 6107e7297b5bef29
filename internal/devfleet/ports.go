package devfleet

import (
	"fmt"
	"math/rand/v2"
	"net"
	"syscall"

	"github.com/juju/errors"
)

// Ports are taken from below the kernel's range for outgoing connections. A port
// from that range could be taken by any outgoing connection between the check and
// the bind, or while a killed router waits for its restart: the process then fails
// to start with "address in use", rarely and never twice the same.
const (
	firstPort = 20000
	lastPort  = 32000
	// blockPorts is the number of ports in a block, the first of which is its lock.
	blockPorts = 100
)

// Ports hands out loopback addresses that are free for TCP and for UDP.
//
// Guard against fleets that start at once, in this process or in others: both would
// find a port free, and the one that binds it later would fail with "address in use".
// A fleet takes ports only from blocks of its own; a block is its own while it
// listens on the block's first port, which nobody else can and the kernel ends with
// the process.
type Ports struct {
	next, end int
	locks     []net.Listener
}

// Take returns "127.0.0.1:port"; no address is returned twice.
func (p *Ports) Take() (string, error) {
	for {
		if p.next == p.end {
			if err := p.takeBlock(); err != nil {
				return "", err
			}
		}
		addr := loopback(p.next)
		p.next++
		if isFree(addr) {
			return addr, nil
		}
	}
}

// takeBlock locks the first free block from a random one on.
func (p *Ports) takeBlock() error {
	const blocks = (lastPort - firstPort) / blockPorts
	start := rand.IntN(blocks)
	for i := range blocks {
		first := firstPort + (start+i)%blocks*blockPorts
		lock, err := net.Listen("tcp", loopback(first))
		if err != nil {
			continue
		}
		p.locks = append(p.locks, lock)
		p.next, p.end = first+1, first+blockPorts
		return nil
	}
	return errors.New("no free ports on 127.0.0.1")
}

// Close gives the blocks back.
func (p *Ports) Close() {
	for _, l := range p.locks {
		_ = l.Close()
	}
}

// takeAll fills each target with an address.
func (p *Ports) takeAll(targets ...*string) error {
	for _, t := range targets {
		addr, err := p.Take()
		if err != nil {
			return err
		}
		*t = addr
	}
	return nil
}

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// isFree tries both binds.
//
// Guard: between fork and exec a child of another goroutine holds copies of all
// sockets, so a port would stay taken for a moment after it was closed here, and the
// bind that follows would fail with "address in use". The lock keeps forks out.
func isFree(addr string) bool {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return false
	}
	defer l.Close()
	u, err := net.ListenPacket("udp", addr)
	if err != nil {
		return false
	}
	return u.Close() == nil
}
