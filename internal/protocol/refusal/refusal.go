// Package refusal defines the typed error that callers receive for a request that
// was not answered.
package refusal

import (
	"encoding/json"
	"fmt"
	"time"
)

// Outcome says whether a refused request may have taken effect.
type Outcome string

const (
	// NotRun means that the request had no effect.
	NotRun Outcome = "not_run"
	// Unknown means that the request may have taken effect.
	Unknown Outcome = "unknown"
)

// Kind is the machine-readable cause of a refusal.
type Kind string

// The kinds of refusal.
const (
	KindBadRequest         Kind = "bad_request"
	KindUnauthenticated    Kind = "unauthenticated"
	KindNotAllowed         Kind = "not_allowed"
	KindUnknownModel       Kind = "unknown_model"
	KindUnknownService     Kind = "unknown_service"
	KindTooLarge           Kind = "too_large"
	KindNoConfiguration    Kind = "no_configuration"
	KindNoEntry            Kind = "no_entry_instance"
	KindVersionWithdrawn   Kind = "version_withdrawn"
	KindNoBackend          Kind = "no_backend_server"
	KindOverloaded         Kind = "overloaded"
	KindDeadline           Kind = "deadline"
	KindBrokenAnswer       Kind = "broken_answer"
	KindKeyRequired        Kind = "idempotency_key_required"
	KindKeyReused          Kind = "idempotency_key_reused"
	KindKeyExpired         Kind = "idempotency_key_expired"
	KindInProgress         Kind = "in_progress"
	KindLogUnavailable     Kind = "log_unavailable"
	KindBackendUnavailable Kind = "backend_unavailable"
	KindInternal           Kind = "internal"
)

// Refusal is an error that is returned to the caller with all of its fields.
type Refusal struct {
	Outcome Outcome `json:"outcome"`
	Kind    Kind    `json:"kind"`
	// Message says what happened.
	Message string `json:"message"`
	// Remedy says what the caller can do.
	Remedy string `json:"remedy"`
	// RetryAfterMillis is the time in milliseconds to wait before a retry; 0 means
	// that the same request would be refused again.
	RetryAfterMillis int64 `json:"retry_after_ms"`
	// RequestID identifies the refused request.
	RequestID string `json:"request_id"`
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s; %s", r.Kind, r.Outcome, r.Message, r.Remedy)
}

// New returns a Refusal of a request that had no effect.
func New(kind Kind, message, remedy string) *Refusal {
	return &Refusal{Outcome: NotRun, Kind: kind, Message: message, Remedy: remedy}
}

// NewUnknown returns a Refusal of a request that may have taken effect.
func NewUnknown(kind Kind, message, remedy string) *Refusal {
	return &Refusal{Outcome: Unknown, Kind: kind, Message: message, Remedy: remedy}
}

// After sets the time to wait before a retry and returns the refusal.
func (r *Refusal) After(wait time.Duration) *Refusal {
	r.RetryAfterMillis = wait.Milliseconds()
	return r
}

// Body is the JSON body of a refusal. Its structure follows the error object of
// the OpenAI API, so that clients of that API show the message.
type Body struct {
	Error Error `json:"error"`
}

// Error is a refusal with the type and code fields that OpenAI clients read.
type Error struct {
	Refusal
	Type string `json:"type"`
	Code string `json:"code"`
}

// Encode returns the JSON body of a refusal.
func Encode(r *Refusal) []byte {
	body, err := json.Marshal(Body{Error: Error{Refusal: *r, Type: "medlarslip_refusal", Code: string(r.Kind)}})
	if err != nil {
		return []byte(`{"error":{"outcome":"unknown","kind":"internal"}}`)
	}
	return body
}

var statusByKind = map[Kind]int{
	KindBadRequest:         400,
	KindUnauthenticated:    401,
	KindNotAllowed:         403,
	KindUnknownModel:       404,
	KindUnknownService:     404,
	KindTooLarge:           413,
	KindNoConfiguration:    503,
	KindNoEntry:            503,
	KindVersionWithdrawn:   409,
	KindNoBackend:          503,
	KindOverloaded:         429,
	KindDeadline:           504,
	KindBrokenAnswer:       502,
	KindKeyRequired:        400,
	KindKeyReused:          422,
	KindKeyExpired:         422,
	KindInProgress:         409,
	KindLogUnavailable:     503,
	KindBackendUnavailable: 502,
	KindInternal:           500,
}

// Status returns the HTTP status code of a refusal.
func (r *Refusal) Status() int {
	if status, ok := statusByKind[r.Kind]; ok {
		return status
	}
	return statusByKind[KindInternal]
}
