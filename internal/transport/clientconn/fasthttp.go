package clientconn

import (
	"io"
	"net"
	"net/netip"

	"github.com/valyala/fasthttp"

	"medlarslip/internal/state/clientmemory"
	"medlarslip/internal/transport/bodybuffer"
)

// BodyHandler is a handler of a fasthttp.Server that reads the bodies of requests itself and
// accounts for them. The server would allocate the declared length of a body at once.
type BodyHandler struct {
	Next fasthttp.RequestHandler
	// Refuse responds to a request whose body could not be read. The error is
	// fasthttp.ErrBodyTooLarge, an error of package clientmemory, or that of the connection.
	Refuse func(ctx *fasthttp.RequestCtx, err error)
	// Drop replaces a response that does not fit into the memory for clients, which may not take it.
	Drop func(ctx *fasthttp.RequestCtx)
	// MaxBody is the size in bytes of the largest body.
	MaxBody  int
	listener *Listener
}

// prefetchBytes is how much of a body with a length the server reads before its handler.
const prefetchBytes = 4 << 10

// Install makes the server of the listener use the handler. It must be called before the server
// is started.
func (h *BodyHandler) Install(server *fasthttp.Server, listener *Listener) {
	h.listener = listener
	listener.index = true
	server.Handler = h.handle
	server.StreamRequestBody = true
	server.DisablePreParseMultipartForm = true
	server.MaxRequestBodySize = prefetchBytes
	server.ConnState = func(conn net.Conn, state fasthttp.ConnState) {
		if state == fasthttp.StateIdle {
			// A connection that was evicted is closed.
			_ = listener.holding(conn.RemoteAddr()).SetPhase(clientmemory.Idle)
		}
	}
}

func (h *BodyHandler) handle(ctx *fasthttp.RequestCtx) {
	memory := h.listener.holding(ctx.RemoteAddr())
	err := memory.SetPhase(clientmemory.Body)
	if err == nil {
		err = memory.BeginRequest(headerBytes(&ctx.Request.Header))
	}
	var body []byte
	if err == nil {
		body, err = h.read(ctx, memory)
	}
	// An eviction makes the read fail, or is known by now.
	if evicted := memory.SetPhase(clientmemory.Running); evicted != nil {
		err = evicted
	}
	if err != nil {
		ctx.SetConnectionClose()
		h.Refuse(ctx, err)
		return
	}
	ctx.Request.SetBodyRaw(body)
	request := memory.NewRequest()
	ctx.SetUserValue(requestKey{}, request)
	h.Next(ctx)
	// A stream is written as it arrives.
	if ctx.Response.IsBodyStream() {
		return
	}
	if request.End(int64(len(ctx.Response.Body()))) != nil {
		ctx.SetConnectionClose()
		h.Drop(ctx)
	}
}

// requestKey is the key of the user value that holds the *clientmemory.Request of a request.
type requestKey struct{}

// RequestMemory returns what accounts for the memory of a running request; nil without a BodyHandler, which sets no
// limit.
func RequestMemory(ctx *fasthttp.RequestCtx) *clientmemory.Request {
	request, _ := ctx.UserValue(requestKey{}).(*clientmemory.Request)
	return request
}

func (h *BodyHandler) read(ctx *fasthttp.RequestCtx, memory *clientmemory.Holding) ([]byte, error) {
	source := ctx.RequestBodyStream()
	if source == nil {
		return nil, nil
	}
	if h.listener.tls {
		// Only while a body arrives, bytes arrive that count neither as header nor as body.
		if err := memory.Grow(clientmemory.TLSMessageBytes); err != nil {
			return nil, err
		}
		defer memory.Shrink(clientmemory.TLSMessageBytes)
	}
	return readBody(source, ctx.Request.Header.ContentLength(), h.MaxBody, memory)
}

func headerBytes(header *fasthttp.RequestHeader) int64 {
	return int64(len(header.Method()) + len(header.RequestURI()) + len(header.RawHeaders()))
}

// readBody reads a body whose length is declared, or negative. It accounts for the whole body a second time, for
// the copy that a handler makes. The declared length decides nothing about the buffer, since a client need not
// send what it has declared.
func readBody(source io.Reader, declared, limit int, memory *clientmemory.Holding) ([]byte, error) {
	if declared > limit {
		return nil, fasthttp.ErrBodyTooLarge
	}
	body, err := bodybuffer.Read(source, -1, limit, memory)
	if err != nil {
		return nil, err
	}
	return body, memory.Grow(int64(len(body)))
}

// holding returns the holding of the connection from a remote address; nil if there is none.
func (l *Listener) holding(remote net.Addr) *clientmemory.Holding {
	conn, ok := l.conns.Load(addrPort(remote))
	if !ok {
		return nil
	}
	c, _ := conn.(*Conn)
	return c.holding
}

func addrPort(address net.Addr) netip.AddrPort {
	if tcp, ok := address.(*net.TCPAddr); ok {
		return tcp.AddrPort()
	}
	return netip.AddrPort{}
}
