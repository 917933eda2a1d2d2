// Package idlelisten provides a listener whose connections time out on writes,
// so that a client that stops reading can't block a request forever.
package idlelisten

import (
	"net"
	"time"
)

// Wrap returns a listener whose connections fail a write that is not completed
// within writeTimeout.
func Wrap(listener net.Listener, writeTimeout time.Duration) net.Listener {
	return &timeoutListener{Listener: listener, writeTimeout: writeTimeout}
}

type timeoutListener struct {
	net.Listener
	writeTimeout time.Duration
}

// Accept implements net.Listener.
func (l *timeoutListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &timeoutConn{Conn: c, writeTimeout: l.writeTimeout}, nil
}

type timeoutConn struct {
	net.Conn
	writeTimeout time.Duration
}

// Write implements net.Conn.
func (c *timeoutConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}
