package httpconn

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"medlarslip/internal/transport/bodybuffer"
)

// Reuse selects which connections a call may use.
type Reuse int

const (
	// ReuseIdle uses an idle connection if there is one. If the server has
	// closed it in the meantime, the request is sent once more on a new
	// connection, so it must be safe to repeat.
	ReuseIdle Reuse = iota
	// ReuseNone opens a new connection. The request is written at most once,
	// and a refused connection proves that it was not written.
	ReuseNone
)

// Do sends a request to address and reads the complete response. The error is
// a *CallError.
func (p *Pool) Do(ctx context.Context, address string, req *fasthttp.Request, resp *fasthttp.Response, reuse Reuse) error {
	c, stop, err := p.exchange(ctx, address, req, resp, reuse)
	if err != nil {
		return err
	}
	p.release(c, stop, resp)
	return nil
}

// Stream is a response whose body is read as it arrives.
type Stream struct {
	pool *Pool
	conn *conn
	resp *fasthttp.Response
	stop func() bool
	eof  bool
}

// Open sends a request to address and returns as soon as the header of the
// response has arrived. The caller must Close the stream and must not release
// resp before that. The error is a *CallError.
func (p *Pool) Open(ctx context.Context, address string, req *fasthttp.Request, resp *fasthttp.Response, reuse Reuse) (*Stream, error) {
	resp.StreamBody = true
	c, stop, err := p.exchange(ctx, address, req, resp, reuse)
	if err != nil {
		return nil, err
	}
	return &Stream{pool: p, conn: c, resp: resp, stop: stop}, nil
}

// Read reads the next bytes of the body. It returns io.EOF only at the end of
// the body as framed by the server; a truncated body ends with another error.
func (s *Stream) Read(b []byte) (int, error) {
	n, err := s.resp.BodyStream().Read(b)
	s.eof = errors.Is(err, io.EOF)
	return n, err
}

// Close ends the call. If the body was not read to its end, Close closes the
// connection, which notifies the server that the client has stopped reading.
func (s *Stream) Close() {
	if s.eof && s.stop() && !s.resp.ConnectionClose() {
		_ = s.resp.CloseBodyStream()
		s.pool.put(s.conn)
		return
	}
	s.stop()
	_ = s.conn.Close()
	_ = s.resp.CloseBodyStream()
}

// exchange writes the request and reads the response, or only its header if
// resp.StreamBody is set. An idle connection that the server has closed is
// replaced once.
func (p *Pool) exchange(ctx context.Context, address string, req *fasthttp.Request, resp *fasthttp.Response, reuse Reuse) (*conn, func() bool, error) {
	stream := resp.StreamBody
	var stale error
	if reuse == ReuseIdle {
		if c := p.takeUsable(address); c != nil {
			stop, err := p.roundTrip(ctx, c, req, resp)
			if err == nil {
				return c, stop, nil
			}
			if !isStale(err) || ctx.Err() != nil {
				return nil, nil, err
			}
			resp.Reset()
			resp.StreamBody = stream
			stale = err
		}
	}
	c, err := p.dialAgain(ctx, address, stale)
	if err != nil {
		return nil, nil, err
	}
	stop, err := p.roundTrip(ctx, c, req, resp)
	if err != nil {
		return nil, nil, err
	}
	return c, stop, nil
}

// dialAgain opens a connection for a request. If the request has been written to a stale
// connection, its server may have processed it, also if there is no other connection.
func (p *Pool) dialAgain(ctx context.Context, address string, stale error) (*conn, error) {
	c, err := p.dial(ctx, address)
	if err == nil && ctx.Err() != nil {
		_ = c.Close()
		err = ctx.Err()
	}
	switch {
	case err == nil:
		return c, nil
	case stale != nil:
		return nil, &CallError{Phase: PhaseResponse, Address: address, Err: fmt.Errorf("%w, then %w", stale, err)}
	default:
		return nil, &CallError{Phase: PhaseConnect, Address: address, Err: err}
	}
}

// isTimeout distinguishes a silent server from a closed connection, which is
// reported as EOF or as a reset.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

func isStale(err error) bool {
	var callErr *CallError
	return errors.As(err, &callErr) && callErr.stale
}

// roundTrip closes the connection on failure. The returned function stops
// watching ctx. It returns false if the end of ctx has already closed the
// connection.
func (p *Pool) roundTrip(ctx context.Context, c *conn, req *fasthttp.Request, resp *fasthttp.Response) (func() bool, error) {
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	err := p.writeAndRead(c, req, resp)
	if err == nil {
		return stop, nil
	}
	stop()
	_ = c.Close()
	if cause := context.Cause(ctx); cause != nil {
		err.Err = cause
	}
	return nil, err
}

func (p *Pool) writeAndRead(c *conn, req *fasthttp.Request, resp *fasthttp.Response) *CallError {
	if err := p.write(c, req); err != nil {
		return &CallError{Phase: PhaseRequest, Address: c.address, Err: err, stale: c.usedBefore}
	}
	if _, err := c.reader.Peek(1); err != nil {
		return &CallError{Phase: PhaseResponse, Address: c.address, Err: err, stale: c.usedBefore && !isTimeout(err)}
	}
	if err := p.read(c, resp, req.Header.IsHead()); err != nil {
		return &CallError{Phase: PhaseResponse, Address: c.address, Err: err}
	}
	return nil
}

func (p *Pool) write(c *conn, req *fasthttp.Request) error {
	if err := c.SetWriteDeadline(time.Now().Add(p.opts.IdleTimeout)); err != nil {
		return err
	}
	if err := req.Write(c.writer); err != nil {
		return err
	}
	return c.writer.Flush()
}

const identityBody = -2 // fasthttp's ContentLength of a body that is delimited by the end of its connection

func (p *Pool) read(c *conn, resp *fasthttp.Response, head bool) error {
	stream := resp.StreamBody
	resp.SkipBody = resp.SkipBody || head
	if err := c.skipInterim(c.peekHead); err != nil {
		return err
	}
	// Only the header is read here: when fasthttp reads the body as well, it no
	// longer reports whether the body was framed.
	resp.StreamBody = true
	if err := resp.ReadLimitBody(c.reader, p.opts.MaxBody); err != nil {
		return err
	}
	if resp.Header.ContentLength() == identityBody {
		return ErrUnframed
	}
	if stream {
		return nil
	}
	return p.readFullBody(resp)
}

// readFullBody replaces the body stream of resp by the complete body.
func (p *Pool) readFullBody(resp *fasthttp.Response) error {
	reader := resp.BodyStream()
	if reader == nil {
		return nil
	}
	body, err := io.ReadAll(io.LimitReader(reader, int64(p.opts.MaxBody)+1))
	if err != nil {
		return err
	}
	if len(body) > p.opts.MaxBody {
		return fasthttp.ErrBodyTooLarge
	}
	if err := resp.CloseBodyStream(); err != nil {
		return err
	}
	resp.SetBodyRaw(body)
	return nil
}

func (p *Pool) release(c *conn, stop func() bool, resp *fasthttp.Response) {
	if !stop() || resp.ConnectionClose() {
		_ = c.Close()
		return
	}
	p.put(c)
}

// ReadAll reads the rest of the body into a buffer that the caller owns, and that memory accounts for. The error is
// a *CallError, which wraps bodybuffer.ErrMemory if the body does not fit.
func (s *Stream) ReadAll(memory bodybuffer.Memory) ([]byte, error) {
	if s.resp.BodyStream() == nil {
		s.eof = true
		return nil, nil
	}
	body, err := bodybuffer.Read(s, s.resp.Header.ContentLength(), s.pool.opts.MaxBody, memory)
	if err != nil {
		return nil, &CallError{Phase: PhaseResponse, Address: s.conn.address, Err: err}
	}
	return body, nil
}
