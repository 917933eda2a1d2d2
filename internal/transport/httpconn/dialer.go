package httpconn

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// ProbeInterval is the interval between keep-alive probes of a pool with an
	// UnackedTimeout.
	ProbeInterval = time.Second
	// probeCount is the number of unanswered probes after which a connection is
	// closed.
	probeCount = 2
)

// newDialer returns the dialer of a pool. If UnackedTimeout is set, a peer that
// stops responding without closing the connection is detected within a few
// seconds.
func newDialer(opts *Options) net.Dialer {
	dialer := net.Dialer{Timeout: opts.ConnectTimeout}
	if opts.UnackedTimeout <= 0 {
		return dialer
	}
	dialer.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: ProbeInterval, Interval: ProbeInterval, Count: probeCount}
	millis := int(opts.UnackedTimeout.Milliseconds())
	dialer.Control = func(_, _ string, c syscall.RawConn) error {
		var optErr error
		err := c.Control(func(fd uintptr) {
			optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, millis)
		})
		if err != nil {
			return err
		}
		return optErr
	}
	return dialer
}
