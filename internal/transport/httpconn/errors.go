package httpconn

import (
	"errors"
	"fmt"
)

// Phase is the step at which a call failed.
type Phase int

const (
	// PhaseConnect means that no byte of the request was written.
	PhaseConnect Phase = iota
	// PhaseRequest means that writing the request failed; part of it may have
	// reached the server.
	PhaseRequest
	// PhaseResponse means that the request was written, but the response did
	// not arrive completely.
	PhaseResponse
)

// String returns the name of the phase.
func (p Phase) String() string {
	switch p {
	case PhaseConnect:
		return "connect"
	case PhaseRequest:
		return "request"
	default:
		return "response"
	}
}

// CallError describes a failed call.
type CallError struct {
	Phase Phase
	// Address is the server that was called.
	Address string
	Err     error
	// stale marks a failure on a reused connection that the server has probably
	// closed while it was idle.
	stale bool
}

// Error implements error.
func (e *CallError) Error() string {
	return fmt.Sprintf("call of %s failed in phase %s: %v; check that the server is up and reachable", e.Address, e.Phase, e.Err)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// MayHaveRun reports whether the server may have processed the request. It
// returns false only if err is or wraps a *CallError that says that no byte of
// the request was written.
func MayHaveRun(err error) bool {
	var callErr *CallError
	if errors.As(err, &callErr) {
		return callErr.Phase != PhaseConnect
	}
	return true
}

// ErrUnframed reports a response that is delimited by the end of its
// connection, so that a complete body can't be distinguished from a truncated
// one.
var ErrUnframed = errors.New("response has neither a length nor chunks; have the server send one of them")

// ErrTruncated reports a response without a length whose connection broke before its end.
var ErrTruncated = errors.New("connection broke within a response that has no length; have the server send one")
