package clientconn_test

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"

	"github.com/shoenig/test/must"

	"medlarslip/internal/transport/clientconn"
)

// failingListener fails with each of its errors, in order, and then with io.EOF.
type failingListener struct {
	net.Listener
	errs []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errs) == 0 {
		return nil, io.EOF
	}
	err := l.errs[0]
	l.errs = l.errs[1:]
	return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", err)}
}

// A lack of descriptors or memory must not end the accept loop of a server; other errors must.
func TestAcceptIsRetriedAfterLackOfResources(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		exhausted := []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM}
		_, err := clientconn.Retry(&failingListener{errs: exhausted}).Accept()
		must.ErrorIs(t, err, io.EOF)
		_, err = clientconn.Retry(&failingListener{errs: []error{syscall.EBADF}}).Accept()
		must.ErrorIs(t, err, syscall.EBADF)
	})
}
