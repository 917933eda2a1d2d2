// Package dispatch carries one request from its arrival to its answer: it
// plans the steps, tries backend servers, rates answers, and accounts for what
// was run.
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

// Rater rates answers.
type Rater interface {
	Rate(ctx context.Context, request *platform.RatingRequest) (*platform.Rating, error)
}

// Bookings runs non-idempotent calls at most once.
type Bookings interface {
	Do(ctx context.Context, call claims.Call, send claims.Send) (*records.KeptAnswer, *refusal.Refusal)
}

// Biller takes the bill of a request. It returns once the bill survives the
// loss of this instance, or can't for now.
type Biller interface {
	Bill(ctx context.Context, bill *records.Bill)
}

// ColdPolicy bounds calls to backend servers that have just started.
type ColdPolicy interface {
	// Bound returns how many calls this instance may have in flight to the
	// server; negative where the server is warm. Where it is positive, each
	// call also needs a slot.
	Bound(index *document.Index, server *backends.Snapshot) int
	// Acquire returns a slot for one call that ends with ctx, or an error
	// where the server may not be called now.
	Acquire(ctx context.Context, index *document.Index, server *backends.Snapshot) (coldstart.Slot, error)
	// Release takes notice of the outcome of a call to any server and gives
	// back its slot, which is zero for a warm server.
	Release(slot coldstart.Slot, server string, took time.Duration, good bool)
}

// Sample is the outcome of one step, by which roll-outs and cascades learn.
type Sample struct {
	Account   string
	Kind      string
	Model     string
	VersionID string
	Rollout   string
	// Rated is true where Rating holds a rating.
	Rated  bool
	Rating float64
	// Accepted is true where the rating meets the quality target.
	Accepted bool
	// RatingOnly is true for the late rating of an answer that was observed
	// before.
	RatingOnly bool
	// Failed is true where the step gave no whole answer.
	Failed bool
	Took   time.Duration
}

// Learner watches the outcome of steps.
type Learner interface {
	// Observe takes one sample.
	Observe(sample *Sample)
	// Halted reports whether a roll-out was halted automatically.
	Halted(rolloutID string) bool
}

// Router carries requests. Its fields must be set before the first request
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
	// BillsFull reports whether no further bill can be kept, so that new
	// requests are refused; nil means never.
	BillsFull    func() bool
	Cold         ColdPolicy
	Learner      Learner
	Sessions     *session.Signer
	Explanations *requests.Log
	Now          func() time.Time

	// Acceptance learns what to expect of versions; nil learns nothing.
	Acceptance *cascade.Learner
	// Ratings judges the rating service; nil finds it usable.
	Ratings *cascade.RatingHealth
	// Gate and Shares bound the requests in progress; nil sets no bound.
	Gate   *overload.Gate
	Shares *overload.Divider
	// EntryCount returns the number of entry instances that share the backend
	// servers; nil counts as 1.
	EntryCount func() int

	budgets     retrybudget.Budgets
	lateRatings atomic.Int64
}

const (
	// maxAttempts bounds the servers that one step tries.
	maxAttempts = 3
	// noBackendRetry is the wait that callers are told while no backend
	// server takes work.
	noBackendRetry = 2 * time.Second
)
