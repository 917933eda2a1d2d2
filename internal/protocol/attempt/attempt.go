// Package attempt defines one attempt of a request at one backend server, as the
// interface between the coordination layer, which requests it, and the transport
// layer, which performs it.
package attempt

import (
	"context"
	"encoding/json"

	"github.com/ansel1/merry/v2"

	"medlarslip/internal/protocol/openai"
	"medlarslip/internal/protocol/records"
)

// Kinds of errors of a call to an engine.
var (
	// ErrUnreachable means that the engine received nothing.
	ErrUnreachable = merry.Sentinel("engine can't be reached; try another")
	// ErrBusy means that the engine refused the call for lack of capacity.
	ErrBusy = merry.Sentinel("engine is full; try another or later")
	// ErrRejected means that the engine rejected the request as invalid.
	ErrRejected = merry.Sentinel("engine rejected the request; correct it")
	// ErrBroken means that an answer was truncated, belonged to another request
	// or was malformed.
	ErrBroken = merry.Sentinel("engine did not give a whole answer; try again")
)

// ErrNoServer means that no backend server accepts the request.
var ErrNoServer = merry.Sentinel("no backend server takes the work; try again later")

// Kinds of errors of a call to a plain service.
var (
	// ErrNotSent means that the service received nothing.
	ErrNotSent = merry.Sentinel("service can't be reached; try another server or later")
	// ErrNoAnswer means that the call was sent and no complete answer arrived.
	ErrNoAnswer = merry.Sentinel("service gave no whole answer; the call may have taken effect")
)

// EngineCall is one attempt at one engine.
type EngineCall struct {
	Address   string
	VersionID string
	AttemptID string
	// Priority is passed to the engine; lower numbers are served first.
	Priority int
	// Body holds the fields of the caller's JSON object. The fields model, stream
	// and priority are replaced.
	Body map[string]json.RawMessage
	// Unfinished is a message to append to the messages in Body, or empty. Body would
	// otherwise need a copy of all messages.
	Unfinished json.RawMessage
	// Memory accounts for what the attempt holds; nil sets no limit.
	Memory Memory
}

// Answer is a complete and validated answer.
type Answer struct {
	// Body is the JSON text of the answer as the engine sent it.
	Body   []byte
	Parsed openai.ChatResponse
	// Held is the memory of the answer.
	Held *Held
}

// Chunk is one part of a streamed answer.
type Chunk struct {
	// Data is the JSON text as the engine sent it.
	Data   []byte
	Parsed openai.Chunk
}

// Stream is a streamed answer.
type Stream interface {
	// Next returns the next chunk. It returns io.EOF only after the end marker of
	// the stream; any other error is of the kind ErrBroken or ErrMemory.
	Next() (*Chunk, error)
	// LastEvent returns the number of the last event. It is 0 if the engine does
	// not number its events, so that the stream can't be resumed.
	LastEvent() int
	// Close ends the stream. It cancels a stream that was not read to its end.
	Close()
}

// Engines calls model engines. Every error is of one of the kinds for engines
// that this package defines.
type Engines interface {
	// Complete requests a complete answer.
	Complete(ctx context.Context, call *EngineCall) (*Answer, error)
	// Open requests a streamed answer. A positive after resumes the same attempt
	// after the event of that number.
	Open(ctx context.Context, call *EngineCall, after int) (Stream, error)
}

// ServiceCall is one call to a plain service.
type ServiceCall struct {
	Address string
	Method  string
	// Path is the path with its query.
	Path        string
	ContentType string
	Body        []byte
	RequestID   string
	// IdempotencyKey is set for a call that is sent at most once.
	IdempotencyKey string
	// Memory accounts for the answer; nil sets no limit.
	Memory Memory
}

// Services calls plain services. The error is of the kind ErrNotSent,
// ErrNoAnswer or ErrMemory.
type Services interface {
	Do(ctx context.Context, call *ServiceCall) (*records.KeptAnswer, error)
}
