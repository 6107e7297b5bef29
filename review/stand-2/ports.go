package main

import (
	"errors"
	"math/rand/v2"
	"net"
	"strconv"
)

// Ports are taken from below the kernel's range for outgoing connections, which could take one of that range between the
// check and the bind.
const (
	firstPort  = 20000
	lastPort   = 32000
	blockPorts = 100
)

// ports hands out loopback addresses from a block that is its own while it listens on the first port of the block.
type ports struct {
	lock      net.Listener
	next, end int
}

func (p *ports) take() (string, error) {
	if p.lock == nil && !p.takeBlock() {
		return "", errors.New("no block of free ports")
	}
	for p.next < p.end {
		addr := loopback(p.next)
		p.next++
		if l, err := net.Listen("tcp", addr); err == nil {
			_ = l.Close() // it was free
			return addr, nil
		}
	}
	return "", errors.New("no free port is left")
}

func (p *ports) takeBlock() bool {
	const blocks = (lastPort - firstPort) / blockPorts
	start := rand.IntN(blocks)
	for i := range blocks {
		first := firstPort + (start+i)%blocks*blockPorts
		if l, err := net.Listen("tcp", loopback(first)); err == nil {
			p.lock, p.next, p.end = l, first+1, first+blockPorts
			return true
		}
	}
	return false
}

func (p *ports) close() {
	if p.lock != nil {
		_ = p.lock.Close() // the block is free again
	}
}

func loopback(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }
