// Package dispatch processes one request from its arrival to its answer: it
// plans the steps of the cascade, tries backend servers, rates answers, and
// bills what was run.
package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"medlarslip/internal/coordination/cascade"
	"medlarslip/internal/coordination/claims"
	"medlarslip/internal/coordination/coldstart"
	"medlarslip/internal/coordination/configuration"
	"medlarslip/internal/coordination/overload"
	"medlarslip/internal/coordination/retrybudget"
	"medlarslip/internal/coordination/session"
	"medlarslip/internal/protocol/attempt"
	"medlarslip/internal/protocol/document"
	"medlarslip/internal/protocol/platform"
	"medlarslip/internal/protocol/records"
	"medlarslip/internal/protocol/refusal"
	"medlarslip/internal/state/backends"
	"medlarslip/internal/state/requests"
)

// Rater rates the quality of answers.
type Rater interface {
	Rate(ctx context.Context, request *platform.RatingRequest) (*platform.Rating, error)
}

// Bookings runs non-idempotent calls at most once.
type Bookings interface {
	Do(ctx context.Context, call claims.Call, send claims.Send) (*records.KeptAnswer, *refusal.Refusal)
}

// Biller records the bill of a request. Bill returns once the bill survives the
// loss of this instance, or once this is found impossible for now.
type Biller interface {
	Bill(ctx context.Context, bill *records.Bill)
}

// ColdPolicy limits the calls to cold backend servers, which have just started.
type ColdPolicy interface {
	// Bound returns the number of calls that this instance may have in flight
	// to the server; negative if the server is warm. If it is positive, each
	// call also needs a slot.
	Bound(index *document.Index, server *backends.Snapshot) int
	// Acquire returns a slot for one call that ends with ctx, or an error if
	// the server may not be called now.
	Acquire(ctx context.Context, index *document.Index, server *backends.Snapshot) (coldstart.Slot, error)
	// Release records the outcome of a call to any server and frees its slot,
	// which is the zero Slot for a warm server.
	Release(slot coldstart.Slot, server string, took time.Duration, good bool)
}

// Sample is the outcome of one step, as input for rollouts and cascades.
type Sample struct {
	Account   string
	Kind      string
	Model     string
	VersionID string
	Rollout   string
	// Rated is true if Rating is set.
	Rated  bool
	Rating float64
	// Accepted is true if the rating meets the quality target.
	Accepted bool
	// RatingOnly is true for the rating of an answer that an earlier sample has
	// already reported.
	RatingOnly bool
	// Failed is true if the step gave no complete answer.
	Failed bool
	Took   time.Duration
}

// Learner observes the outcome of steps.
type Learner interface {
	// Observe records one sample.
	Observe(sample *Sample)
	// Halted reports whether a rollout was halted automatically.
	Halted(rolloutID string) bool
}

// Router dispatches requests. Its fields must be set before the first request
// and not change afterwards.
type Router struct {
	FailureDomain string
	Config        *configuration.Store
	Table         *backends.Table
	Engines       attempt.Engines
	Services      attempt.Services
	Rater         Rater
	Bookings      Bookings
	Biller        Biller
	// BillsFull reports whether no further bill can be stored, so that new
	// requests are refused; nil means never.
	BillsFull    func() bool
	Cold         ColdPolicy
	Learner      Learner
	Sessions     *session.Signer
	Explanations *requests.Log
	Now          func() time.Time

	// Acceptance estimates the acceptance and the duration of the answers of
	// versions; nil estimates nothing.
	Acceptance *cascade.Learner
	// Ratings monitors the health of the rating service; nil assumes that it is
	// healthy.
	Ratings *cascade.RatingHealth
	// Gate and Shares limit the requests in progress; nil sets no limit.
	Gate   *overload.Gate
	Shares *overload.Divider
	// EntryCount returns the number of entry instances that share the backend
	// servers; nil counts as 1.
	EntryCount func() int

	// LateRatingBytes bounds the prompts and texts of answers that are rated after
	// they were returned; 0 sets no limit.
	LateRatingBytes int64

	budgets         retrybudget.Budgets
	lateRatings     atomic.Int64
	lateRatingBytes atomic.Int64
}

const (
	// maxAttempts is the maximum number of attempts of one step.
	maxAttempts = 3
	// noBackendRetry is the wait that is sent to callers while no backend server
	// is available.
	noBackendRetry = 2 * time.Second
)
