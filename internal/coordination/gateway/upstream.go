package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
)

// RawRequest is a request whose bytes the gateway has put together.
type RawRequest struct {
	Method string
	// Head is the request line and the header with its final empty line.
	Head []byte
	Body []byte
	// Repeatable requests may be written a second time where a kept connection
	// turns out to be closed; others are written once, on a new connection.
	Repeatable bool
}

// RawResponse is a response whose body is read as it arrives. io.EOF comes only at
// the end of a whole body.
type RawResponse interface {
	Status() int
	Header() http.Header
	io.Reader
	// Close ends the call. Before the end of the body it closes the connection,
	// so that the server stops.
	Close()
}

// Upstream sends requests to backend servers.
type Upstream interface {
	// Send returns as soon as the header of the response has arrived. The end
	// of ctx ends the call, also while the body is read. The error is a
	// *SendError.
	Send(ctx context.Context, address string, req RawRequest) (RawResponse, error)
}

// SendError is the error of a request that got no response.
type SendError struct {
	// MayHaveRun is false only where no byte of the request was written.
	MayHaveRun bool
	Err        error
}

// Error implements error.
func (e *SendError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// mayHaveRun reports whether a server may have acted on a request.
func mayHaveRun(err error) bool {
	var sendErr *SendError
	return !errors.As(err, &sendErr) || sendErr.MayHaveRun
}
