// Package plainservice forwards calls to plain services with method, path and
// body unchanged.
package plainservice

import (
	"context"
	"errors"

	"github.com/ansel1/merry/v2"
	"github.com/valyala/fasthttp"

	"medlarslip/internal/protocol/attempt"
	"medlarslip/internal/protocol/records"
	"medlarslip/internal/transport/bodybuffer"
	"medlarslip/internal/transport/httpconn"
)

// HeaderIdempotencyKey carries the caller's key, as in the IETF draft "The
// Idempotency-Key HTTP Header Field".
const HeaderIdempotencyKey = "Idempotency-Key"

// Client implements attempt.Services. It is safe for concurrent use.
type Client struct {
	pool *httpconn.Pool
}

var _ attempt.Services = (*Client)(nil)

// headerRequestID carries the request ID, which a service may echo.
const headerRequestID = "X-Request-Id"

// New returns a client that uses the connections of pool.
func New(pool *httpconn.Pool) *Client { return &Client{pool: pool} }

// Do performs the call. A call with an idempotency key is written at most once,
// on a new connection. The error is of the kind attempt.ErrNotSent,
// attempt.ErrNoAnswer or attempt.ErrMemory.
func (c *Client) Do(ctx context.Context, call *attempt.ServiceCall) (*records.KeptAnswer, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	reuse := httpconn.ReuseIdle
	req.Header.SetMethod(call.Method)
	req.SetRequestURI("http://" + call.Address + call.Path)
	// Keeps the escapes of an idempotency key in the path.
	req.URI().DisablePathNormalizing = true
	req.Header.Set(headerRequestID, call.RequestID)
	if call.ContentType != "" {
		req.Header.SetContentType(call.ContentType)
	}
	if call.IdempotencyKey != "" {
		req.Header.Set(HeaderIdempotencyKey, call.IdempotencyKey)
		reuse = httpconn.ReuseNone
	}
	req.SetBodyRaw(call.Body)
	raw, err := c.pool.Open(ctx, call.Address, req, resp, reuse)
	if err != nil {
		return nil, callError(err)
	}
	defer raw.Close()
	held := attempt.NewHeld(call.Memory)
	body, err := raw.ReadAll(held)
	if err != nil {
		held.Release()
		return nil, callError(err)
	}
	// A service may send a copy of an earlier answer instead of this one. This is
	// detected only if the service echoes the request ID.
	if id := resp.Header.Peek(headerRequestID); len(id) > 0 && string(id) != call.RequestID {
		return nil, merry.Prepend(attempt.ErrNoAnswer, "the answer bears the ID of another request")
	}
	return &records.KeptAnswer{
		Status:      resp.StatusCode(),
		ContentType: string(resp.Header.ContentType()),
		Body:        body,
	}, nil
}

func callError(err error) error {
	if errors.Is(err, bodybuffer.ErrMemory) {
		return merry.Prepend(attempt.ErrMemory, err.Error())
	}
	if httpconn.MayHaveRun(err) {
		return merry.Prepend(attempt.ErrNoAnswer, err.Error())
	}
	return merry.Prepend(attempt.ErrNotSent, err.Error())
}
