package httpconn

import (
	"errors"
	"net"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// asyncBodyBytes is the size in bytes above which a request body is written
// concurrently with reading the response, since a server may respond before it
// has read the whole body.
const asyncBodyBytes = 16 << 10

// upload is the concurrent write of a request.
type upload struct {
	// done is closed once the write has ended; then err is its error.
	done chan struct{}
	err  error
}

func startUpload(conn net.Conn, req RawRequest) *upload {
	u := &upload{done: make(chan struct{})}
	go func() {
		defer close(u.done)
		// WriteTo changes its receiver.
		buffers := append(net.Buffers{req.Head}, req.Body...)
		_, u.err = buffers.WriteTo(conn)
	}()
	return u
}

// wait returns the error of the write once it has ended.
func (u *upload) wait() error {
	<-u.done
	return u.err
}

// complete reports whether the request is written. A request that was written before its response was
// read has no upload.
func (u *upload) complete() bool {
	if u == nil {
		return true
	}
	select {
	case <-u.done:
		return u.err == nil
	default:
		return false
	}
}

// isConnectionError reports whether a write has failed by an error of the connection, which a read does not
// report again. EPIPE is none: Linux reports it for a reset after the peer had ended its side in order. A
// deadline says nothing about the peer.
func isConnectionError(err error) bool {
	return err != nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, os.ErrDeadlineExceeded)
}

// tcpCloseWait is the state of a socket whose peer has ended its side in order (enum in linux/net/tcp_states.h).
const tcpCloseWait = 8

// endedInOrder reports whether the server is known to have ended its side of the connection in order, and
// has not reset it since.
func (c *conn) endedInOrder() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	ended := false
	// An error means that the connection is closed; then it did not end in order.
	_ = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		ended = err == nil && info.State == tcpCloseWait
	})
	return ended
}
