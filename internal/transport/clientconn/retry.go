package clientconn

import (
	"errors"
	"net"
	"slices"
	"syscall"
	"time"
)

// acceptRetry is the time until the next attempt after an accept that failed for lack of
// descriptors or memory.
const acceptRetry = 20 * time.Millisecond

// exhausted lists the errors of accept(2) for a lack of descriptors or memory, which ends once connections or
// files are closed.
var exhausted = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM}

// Retry returns a listener that waits while the process lacks descriptors or memory for a new
// connection. A fasthttp.Server would otherwise stop accepting permanently.
func Retry(listener net.Listener) net.Listener { return retryListener{listener} }

type retryListener struct{ net.Listener }

// Accept implements net.Listener.
func (l retryListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil || !slices.ContainsFunc(exhausted, func(kind error) bool { return errors.Is(err, kind) }) {
			return conn, err
		}
		// A listener that is closed meanwhile fails the next attempt.
		time.Sleep(acceptRetry)
	}
}
