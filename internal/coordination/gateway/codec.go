package gateway

import (
	"net/http"
	"time"

	"medlarslip/internal/state/backends"
)

// PromptPart is one part of a prompt; requests whose prompts begin with the
// same parts share them in the prompt cache of a server.
type PromptPart struct {
	ID     string
	Tokens int
}

// Call is what the header of a client's request says.
type Call struct {
	// ID identifies this attempt of the client.
	ID string
	// Deadline is how long the client waits; 0 if it does not say.
	Deadline time.Duration
	// Key is the API key; empty if there is none.
	Key string
	// AnyModel is true where the client leaves the choice of the model open.
	AnyModel bool
	// Model is the model that the client named; empty if it named none.
	Model string
	// Prompt lists the parts of the prompt in order; the last belongs to the
	// request itself or to its session.
	Prompt []PromptPart
	// PromptTokens is the length of the prompt; 0 if unknown.
	PromptTokens int
	// LastEventID is the event after which the client asks to go on.
	LastEventID string
	// Session names the session that the request belongs to; empty if none.
	Session string
}

// Attempt is what the header of one request to a backend server says.
type Attempt struct {
	// Remaining is the time that the server has for the answer.
	Remaining time.Duration
	// Server is the ID of the server that is meant; any other refuses.
	Server string
	// Account is the name of the client account; empty if there is none.
	Account string
	// Priority is the rank of the request; 0 is the highest.
	Priority int
	// Model is the model that runs the request; empty where none is named.
	Model string
	// LastEventID is the event after which a stream goes on; empty for none.
	LastEventID string
}

// Reply is what the header of a backend server's response says.
type Reply struct {
	Status int
	// RequestID is the request that the response belongs to.
	RequestID string
	// NotRun is true where the server states that it did not run the request.
	NotRun bool
	// Sealed is true where the response bears the mark of a server.
	Sealed bool
	// Confidence is the model's opinion of its answer, 0 to 100; -1 if it
	// gives none.
	Confidence int
	// Load is what the server tells of its load; nil if nothing.
	Load *backends.Load
	// Leaving is true where the server says that it leaves.
	Leaving bool
	// RetryAfter is how long a server that refused the request wants no other;
	// 0 if it does not say.
	RetryAfter time.Duration
}

// Codec translates the headers of requests and responses.
type Codec interface {
	// DecodeCall reads the header of a client's request. The error says what
	// is wrong with it.
	DecodeCall(header http.Header) (Call, error)
	// EncodeAttempt returns the header of a request to a backend server: that
	// of the client without what only the system may set, and with attempt.
	EncodeAttempt(header http.Header, attempt Attempt) http.Header
	// DecodeReply reads the header of a backend server's response.
	DecodeReply(status int, header http.Header) Reply
	// EncodeResponse returns the header that the client receives for that of a
	// backend server.
	EncodeResponse(header http.Header) http.Header
}
