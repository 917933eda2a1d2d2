// Package idlelisten accepts connections whose writes time out, so that a
// caller which stops reading can't hold a request for ever.
package idlelisten

import (
	"net"
	"time"
)

// Wrap returns a listener whose connections fail a write that makes no
// progress for the given time.
func Wrap(listener net.Listener, writeTimeout time.Duration) net.Listener {
	return &idleListener{Listener: listener, writeTimeout: writeTimeout}
}

type idleListener struct {
	net.Listener
	writeTimeout time.Duration
}

// Accept implements net.Listener.
func (l *idleListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &idleConn{Conn: c, writeTimeout: l.writeTimeout}, nil
}

type idleConn struct {
	net.Conn
	writeTimeout time.Duration
}

// Write implements net.Conn.
func (c *idleConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}
