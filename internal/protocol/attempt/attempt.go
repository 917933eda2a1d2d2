// Package attempt defines one attempt of a request on one backend server, as
// the coordination layer orders it and the transport layer performs it.
package attempt

import (
	"context"
	"encoding/json"

	"github.com/ansel1/merry/v2"

	"medlarslip/internal/protocol/openai"
	"medlarslip/internal/protocol/records"
)

// Kinds of error of a call of an engine.
var (
	// ErrUnreachable means that the engine received nothing.
	ErrUnreachable = merry.Sentinel("engine can't be reached; try another")
	// ErrBusy means that the engine refused for want of room.
	ErrBusy = merry.Sentinel("engine is full; try another or later")
	// ErrRejected means that the engine finds fault with the request.
	ErrRejected = merry.Sentinel("engine rejected the request; correct it")
	// ErrBroken means that an answer was cut, crossed or malformed.
	ErrBroken = merry.Sentinel("engine did not give a whole answer; try again")
)

// ErrNoServer means that no backend server takes the work.
var ErrNoServer = merry.Sentinel("no backend server takes the work; try again later")

// Kinds of error of a call of a plain service.
var (
	// ErrNotSent means that the service received nothing.
	ErrNotSent = merry.Sentinel("service can't be reached; try another server or later")
	// ErrNoAnswer means that the call was sent and no whole answer came.
	ErrNoAnswer = merry.Sentinel("service gave no whole answer; the call may have taken effect")
)

// EngineCall is one attempt on one engine.
type EngineCall struct {
	Address   string
	VersionID string
	AttemptID string
	// Priority goes to the engine; a lower number goes first.
	Priority int
	// Body holds the fields of the caller's JSON object. Model, stream and
	// priority are replaced.
	Body map[string]json.RawMessage
}

// Answer is a whole answer that was checked.
type Answer struct {
	// Body is the JSON text of the answer as the engine sent it.
	Body   []byte
	Parsed openai.ChatResponse
}

// Chunk is one part of a streamed answer.
type Chunk struct {
	// Data is the JSON text as the engine sent it.
	Data   []byte
	Parsed openai.Chunk
}

// Stream is an answer that arrives in parts.
type Stream interface {
	// Next returns the next chunk; io.EOF comes only after the end mark, and
	// any other error is of the kind ErrBroken.
	Next() (*Chunk, error)
	// LastEvent returns the number of the last event, or 0 where the engine
	// does not number its events and so can't resume.
	LastEvent() int
	// Close ends the stream; one not read to its end is cancelled.
	Close()
}

// Engines calls model engines. Every error is of one of the kinds of this
// package.
type Engines interface {
	// Complete asks for a whole answer.
	Complete(ctx context.Context, call *EngineCall) (*Answer, error)
	// Open asks for a streamed answer. A positive after resumes the same
	// attempt behind the event of that number.
	Open(ctx context.Context, call *EngineCall, after int) (Stream, error)
}

// ServiceCall is one call of a plain service.
type ServiceCall struct {
	Address string
	Method  string
	// Path is the path with its query.
	Path        string
	ContentType string
	Body        []byte
	RequestID   string
	// IdempotencyKey marks a call that is written at most once.
	IdempotencyKey string
}

// Services calls plain services. The error is of the kind ErrNotSent or
// ErrNoAnswer.
type Services interface {
	Do(ctx context.Context, call *ServiceCall) (*records.KeptAnswer, error)
}
