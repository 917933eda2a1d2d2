package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
)

// RawRequest is a request in wire format.
type RawRequest struct {
	Method string
	// Head is the request line and the header, with the final empty line.
	Head []byte
	// Body is the body in parts.
	Body [][]byte
	// Repeatable is true where the request may be written again if a reused
	// connection turns out to be closed. Other requests are written once, on a
	// new connection.
	Repeatable bool
}

// RawResponse is a response whose body is read as it arrives. Read returns
// io.EOF only at the end of a complete body.
type RawResponse interface {
	Status() int
	Header() http.Header
	io.Reader
	// Framed reports whether the response states where its body ends. Otherwise it
	// ends with its connection.
	Framed() bool
	// Close ends the call. If the body was not read to its end, Close closes
	// the connection, so that the server stops.
	Close()
}

// Upstream sends requests to backend servers.
type Upstream interface {
	// Send returns once the header of the response has arrived. Cancelling ctx
	// ends the call, also while the body is read. The error is a *SendError.
	Send(ctx context.Context, address string, req RawRequest) (RawResponse, error)
	// Refuses reports whether no process accepts connections at the address. It is
	// false if that is not certain.
	Refuses(ctx context.Context, address string) bool
}

// SendError is the error of a request that received no response.
type SendError struct {
	// MayHaveRun is false only if no byte of the request was written.
	MayHaveRun bool
	// Refused is true if no process accepts connections at the address.
	Refused bool
	Err     error
}

// Error implements error.
func (e *SendError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// mayHaveRun reports whether a server may have processed the request. It is
// true for an error that is no *SendError.
func mayHaveRun(err error) bool {
	var sendErr *SendError
	return !errors.As(err, &sendErr) || sendErr.MayHaveRun
}
