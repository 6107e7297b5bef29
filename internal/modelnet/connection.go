package modelnet

import (
	"net"
	"time"
)

// newConnection gives both ends of a connection between two hosts.
func newConnection(from, to *Host) (near, far net.Conn) {
	near, nearWire := net.Pipe()
	far, farWire := net.Pipe()
	go carry(nearWire, farWire, from, to)
	go carry(farWire, nearWire, to, from)
	return near, far
}

// packet is a part of a stream that is under way.
type packet struct {
	data []byte
	at   time.Time
}

// carry moves what src's application sends to dst, until either end closes.
func carry(src, dst net.Conn, sender, receiver *Host) {
	const most = window / segment
	underWay := make(chan packet, most)
	acked := make(chan time.Time, most)
	go deliver(dst, underWay, acked, sender, receiver)
	defer close(underWay)
	for sent := 0; ; sent++ {
		if sent >= most {
			at, open := <-acked
			if !open {
				src.Close()
				return
			}
			time.Sleep(time.Until(at))
		}
		b := make([]byte, segment)
		n, err := src.Read(b)
		if err != nil {
			return
		}
		underWay <- packet{data: b[:n], at: receiver.arrival(n)}
	}
}

// deliver hands over what arrives, and acknowledges it to the sender.
func deliver(dst net.Conn, underWay <-chan packet, acked chan<- time.Time, sender, receiver *Host) {
	defer close(acked)
	defer dst.Close()
	for p := range underWay {
		time.Sleep(time.Until(p.at))
		time.Sleep(max(sender.standing(), receiver.standing()))
		if _, err := dst.Write(p.data); err != nil {
			for range underWay { // what is still under way is lost
			}
			return
		}
		acked <- time.Now().Add(delay + sender.wait())
	}
}
