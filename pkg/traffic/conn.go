package traffic

import "net"

// conn counts what a connection carries.
type conn struct {
	net.Conn
	meter *Meter
}

func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.meter.Received(n)
	return n, err
}

func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.meter.Sent(n)
	return n, err
}

// listener counts what the connections that it accepts carry.
type listener struct {
	net.Listener
	meter *Meter
}

func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.meter.Conn(c), nil
}
