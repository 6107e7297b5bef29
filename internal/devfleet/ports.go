package devfleet

import (
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/juju/errors"
)

// Ports are taken from below the kernel's range for outgoing connections. A port
// from that range could be taken by any outgoing connection between the check and
// the bind, or while a killed router waits for its restart: the process then fails
// to start with "address in use", rarely and never twice the same.
const (
	firstPort = 20000
	lastPort  = 32000
)

// ports hands out loopback addresses that are free for TCP and for UDP.
type ports struct{ next int }

func newPorts() *ports {
	return &ports{next: firstPort + rand.IntN(lastPort-firstPort)}
}

// take returns "127.0.0.1:port"; no address is returned twice before the range wraps.
func (p *ports) take() (string, error) {
	for range lastPort - firstPort {
		addr := fmt.Sprintf("127.0.0.1:%d", p.next)
		p.next++
		if p.next == lastPort {
			p.next = firstPort
		}
		if isFree(addr) {
			return addr, nil
		}
	}
	return "", errors.New("no free port on 127.0.0.1")
}

// takeAll fills each target with an address.
func (p *ports) takeAll(targets ...*string) error {
	for _, t := range targets {
		addr, err := p.take()
		if err != nil {
			return err
		}
		*t = addr
	}
	return nil
}

func isFree(addr string) bool {
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
