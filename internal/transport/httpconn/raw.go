package httpconn

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// RawRequest is a request that the caller has encoded.
type RawRequest struct {
	Method string
	// Head is the request line and the header, including its final empty line.
	Head []byte
	// Body is the body in parts.
	Body [][]byte
}

// Exchange is a response whose body is read as it arrives. Unlike Stream, it
// accepts a body that is delimited by the end of its connection, provided that
// the connection is closed cleanly (RFC 9112, section 6.3); after a reset, Read
// returns an error.
type Exchange struct {
	// Response holds the status and the header. Its body is read by
	// Exchange.Read.
	Response *http.Response
	pool     *Pool
	conn     *conn
	stop     func() bool
	upload   *upload
	eof      bool
}

// Exchange sends a request to address and returns as soon as the header of
// the response has arrived. The caller must Close it. The error is a
// *CallError. The connection is closed when ctx ends.
func (p *Pool) Exchange(ctx context.Context, address string, req RawRequest, reuse Reuse) (*Exchange, error) {
	var stale error
	if reuse == ReuseIdle {
		if c := p.takeUsable(address); c != nil {
			x, err := p.roundTripRaw(ctx, c, req)
			if err == nil || !isStale(err) || ctx.Err() != nil {
				return x, err
			}
			stale = err
		}
	}
	c, err := p.dialAgain(ctx, address, stale)
	if err != nil {
		return nil, err
	}
	return p.roundTripRaw(ctx, c, req)
}

// Fetched is a response that was read completely.
type Fetched struct {
	Status int
	Header http.Header
	Body   []byte
}

// Fetch sends a request to address and reads the response. It truncates a body that
// is longer than maxBody bytes. The response is nil if no header has arrived; with an
// error after the header it holds what was read.
func (p *Pool) Fetch(ctx context.Context, address string, req RawRequest, reuse Reuse, maxBody int64) (*Fetched, error) {
	x, err := p.Exchange(ctx, address, req, reuse)
	if err != nil {
		return nil, err
	}
	defer x.Close()
	body, err := io.ReadAll(io.LimitReader(x, maxBody))
	return &Fetched{Status: x.Response.StatusCode, Header: x.Response.Header, Body: body}, err
}

// takeUsable returns an idle connection that is open and has received nothing
// since its last response, or nil. Unsolicited bytes belong to no request and
// must not be read as the response to the next one.
func (p *Pool) takeUsable(address string) *conn {
	for c := p.take(address); c != nil; c = p.take(address) {
		if c.openAndEmpty() {
			return c
		}
		_ = c.Close()
	}
	return nil
}

// stateReporter is a connection without a file descriptor that can tell whether it is open
// and has nothing to read.
type stateReporter interface{ OpenAndEmpty() bool }

// openAndEmpty reports whether the connection is open and has nothing to read. It
// returns true for a connection that gives no access to its file descriptor and is no
// stateReporter.
func (c *conn) openAndEmpty() bool {
	netConn := c.Conn
	if encrypted, ok := netConn.(*tls.Conn); ok {
		netConn = encrypted.NetConn()
	}
	if reporter, ok := netConn.(stateReporter); ok {
		return reporter.OpenAndEmpty()
	}
	sc, ok := netConn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	var one [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, readErr := unix.Read(int(fd), one[:])
		empty = errors.Is(readErr, unix.EAGAIN)
		return true
	})
	return empty && err == nil
}

// roundTripRaw closes the connection on failure.
func (p *Pool) roundTripRaw(ctx context.Context, c *conn, req RawRequest) (*Exchange, error) {
	x := &Exchange{pool: p, conn: c}
	x.stop = context.AfterFunc(ctx, func() { _ = c.Close() })
	err := x.writeAndRead(req)
	if err == nil {
		return x, nil
	}
	x.stop()
	_ = c.Close()
	if cause := context.Cause(ctx); cause != nil {
		err.Err = cause
	}
	return nil, err
}

func (x *Exchange) writeAndRead(req RawRequest) *CallError {
	c := x.conn
	if err := x.write(req); err != nil {
		return &CallError{Phase: PhaseRequest, Address: c.address, Err: err, stale: c.usedBefore}
	}
	if _, err := c.reader.Peek(1); err != nil {
		return &CallError{Phase: PhaseResponse, Address: c.address, Err: err, stale: c.usedBefore && !isTimeout(err)}
	}
	if err := c.skipInterim(c.peekLongHead); err != nil {
		return &CallError{Phase: PhaseResponse, Address: c.address, Err: err}
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: req.Method})
	if err != nil {
		return &CallError{Phase: PhaseResponse, Address: c.address, Err: err}
	}
	x.Response = resp
	return nil
}

func (x *Exchange) write(req RawRequest) error {
	c := x.conn
	if err := c.SetWriteDeadline(time.Now().Add(c.idleTimeout)); err != nil {
		return err
	}
	size := 0
	for _, part := range req.Body {
		size += len(part)
	}
	if size <= asyncBodyBytes {
		whole := append(make([]byte, 0, len(req.Head)+size), req.Head...)
		for _, part := range req.Body {
			whole = append(whole, part...)
		}
		_, err := c.Write(whole)
		return err
	}
	x.upload = startUpload(c.Conn, req)
	return nil
}

// Framed reports whether the response states where its body ends. Otherwise it ends with its
// connection.
func (x *Exchange) Framed() bool {
	return x.Response.ContentLength >= 0 || len(x.Response.TransferEncoding) > 0
}

// Read reads the next bytes of the body. It returns io.EOF only at its end.
func (x *Exchange) Read(b []byte) (int, error) {
	n, err := x.Response.Body.Read(b)
	if errors.Is(err, io.EOF) && !x.eof && !x.Framed() {
		err = x.unframedEnd()
	}
	x.eof = errors.Is(err, io.EOF)
	return n, err
}

// unframedEnd returns io.EOF if the server has ended its side of the connection in order. The socket
// reports a reset once, and if the writer of the request has taken that report, a read returns io.EOF, too.
func (x *Exchange) unframedEnd() error {
	if x.upload == nil || x.conn.endedInOrder() {
		return io.EOF
	}
	if err := x.upload.wait(); isConnectionError(err) {
		return fmt.Errorf("%w: %w", ErrTruncated, err)
	}
	return io.EOF
}

// Close ends the call. It keeps the connection only if the response was read to
// its end, nothing followed it, and the request was written completely.
func (x *Exchange) Close() {
	ended := x.stop()
	if !ended || !x.eof || x.Response.Close || !x.upload.complete() {
		_ = x.conn.Close()
		return
	}
	x.pool.putFor(x.conn, keepAliveTimeout(x.Response.Header))
}

// keepAliveFraction is the fraction of the advertised timeout for which a
// connection is reused, so that no request is sent while the server closes it.
const keepAliveFraction = 0.5

// keepAliveTimeout returns how long a connection may be reused according to the
// Keep-Alive field of the server; 0 if the field is absent or invalid.
func keepAliveTimeout(header http.Header) time.Duration {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds < 0 {
			return 0
		}
		return time.Duration(float64(seconds) * keepAliveFraction * float64(time.Second))
	}
	return 0
}
