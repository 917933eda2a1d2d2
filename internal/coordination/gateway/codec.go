package gateway

import (
	"net/http"
	"time"

	"medlarslip/internal/coordination/fleetlimit"
	"medlarslip/internal/state/backends"
)

// PromptPart is one part of a prompt. Requests whose prompts begin with the
// same parts share them in the prefix cache of a server.
type PromptPart struct {
	ID     string
	Tokens int
}

// Call is the decoded header of a client request.
type Call struct {
	// ID identifies the request. A client that repeats a call sends a new one.
	ID string
	// Deadline is how long the client waits for the response; 0 if unknown.
	Deadline time.Duration
	// Key is the API key; empty if there is none.
	Key string
	// AnyModel is true if the client accepts any model of the route.
	AnyModel bool
	// Model is the model that the client requests; empty if it names none.
	Model string
	// Prompt lists the parts of the prompt in order. The last one is specific to
	// the request or its session.
	Prompt []PromptPart
	// PromptTokens is the length of the prompt in tokens; 0 if unknown.
	PromptTokens int
	// MaxOutputTokens is the maximum length of the answer in tokens, and LengthHint
	// the client's estimate of it; 0 if unknown.
	MaxOutputTokens, LengthHint int
	// LastEventID is the ID of the event after which the client resumes a
	// stream; empty for a new stream.
	LastEventID string
	// Session is the ID of the session of the request; empty if there is none.
	Session string
}

// sharedParts returns the IDs of the prompt parts that other requests may share: all
// but the last.
func (c *Call) sharedParts() []string {
	var ids []string
	for i := range max(len(c.Prompt)-1, 0) {
		ids = append(ids, c.Prompt[i].ID)
	}
	return ids
}

// Attempt is what the gateway adds to the header of one request to a backend
// server.
type Attempt struct {
	// Remaining is the time left for the response; 0 means no deadline.
	Remaining time.Duration
	// Server is the ID of the intended server. Any other server refuses the
	// request.
	Server string
	// Account is the name of the client account; empty if there is none.
	Account string
	// Priority is the priority of the request; 0 is the highest.
	Priority int
	// Model is the model that runs the request; empty if the request names none.
	Model string
	// LastEventID is the ID of the event after which a stream is resumed; empty
	// for a new stream.
	LastEventID string
}

// Reply is the decoded header of a backend server's response.
type Reply struct {
	Status int
	// RequestID is the ID of the request that the response belongs to.
	RequestID string
	// NotRun is true if the server states that it did not run the request.
	NotRun bool
	// Sealed is true if the response has the header that marks it as one of a
	// backend server.
	Sealed bool
	// Confidence is the confidence of the model in its answer, 0 to 100; -1 if
	// it reports none.
	Confidence int
	// Load is the load that the server reports; nil if it reports none.
	Load *backends.Load
	// Leaving is true if the server reports that it is draining.
	Leaving bool
	// RetryAfter is the backoff that a server asks for with a refusal; 0 if it
	// asks for none.
	RetryAfter time.Duration
	// Brittle is true if the server ends when it has to turn away more than
	// TurnAwayLimit requests in a second.
	Brittle       bool
	TurnAwayLimit float64
	// RateLimit is the limit that the server states for all instances together.
	RateLimit fleetlimit.Limit
}

// Codec translates the headers of requests and responses.
type Codec interface {
	// DecodeCall decodes the header of a client request. The text of the error
	// is sent to the client.
	DecodeCall(header http.Header) (Call, error)
	// EncodeAttempt returns the header of a request to a backend server: the
	// header of the client without the fields that only the system may set,
	// and with those of attempt.
	EncodeAttempt(header http.Header, attempt Attempt) http.Header
	// DecodeReply decodes the header of a backend server's response.
	DecodeReply(status int, header http.Header) Reply
	// EncodeResponse returns the header of the response to the client for the
	// header of a backend server's response.
	EncodeResponse(header http.Header) http.Header
}
