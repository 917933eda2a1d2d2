package httpconn

import (
	"errors"
	"fmt"
)

// Phase says how far a call had come when it failed.
type Phase int

const (
	// PhaseConnect means that no byte of the request was written.
	PhaseConnect Phase = iota
	// PhaseRequest means that writing the request failed part way.
	PhaseRequest
	// PhaseResponse means that the request was written and its response did
	// not arrive whole.
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

// CallError is the error of every failed call.
type CallError struct {
	Phase Phase
	// Address is the server that was called.
	Address string
	Err     error
	// stale marks a kept connection that the server had closed meanwhile.
	stale bool
}

// Error implements error.
func (e *CallError) Error() string {
	return fmt.Sprintf("call of %s failed in phase %s: %v; check that the server is up and reachable", e.Address, e.Phase, e.Err)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// MayHaveRun reports whether the server may have acted on the request. It is
// false only where no byte of it was written.
func MayHaveRun(err error) bool {
	var callErr *CallError
	if errors.As(err, &callErr) {
		return callErr.Phase != PhaseConnect
	}
	return true
}

// ErrUnframed is the error of a response that ends with its connection, so
// that a whole body can't be told from a cut one.
var ErrUnframed = errors.New("response has neither a length nor chunks; have the server send one of them")
