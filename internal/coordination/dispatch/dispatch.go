// Package dispatch carries one request from its arrival to its answer: it
// plans the steps, tries backend servers, rates answers, and accounts for what
// was run.
package dispatch

import (
	"context"
	"math/rand/v2"
	"time"

	"medlarslip/internal/coordination/claims"
	"medlarslip/internal/coordination/coldstart"
	"medlarslip/internal/coordination/configuration"
	"medlarslip/internal/coordination/routing"
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
	// Full reports whether no further bill can be kept, so that new requests
	// must be refused.
	Full() bool
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
	Cold          ColdPolicy
	Learner       Learner
	Sessions      *session.Signer
	Explanations  *requests.Log
	Now           func() time.Time
}

const (
	// maxAttempts bounds the servers that one step tries.
	maxAttempts = 3
	// noBackendRetry is the wait that callers are told while no backend
	// server takes work.
	noBackendRetry = 2 * time.Second
)

// acquired is a backend server with a call of this request begun on it.
type acquired struct {
	backend *backends.Backend
	id      string
	address string
	started time.Time
	slot    coldstart.Slot
}

// acquire chooses a backend server and begins a call on it. It returns nil
// where none may take the work.
func (r *Router) acquire(ctx context.Context, run *run, target string, exclude []string) *acquired {
	servers := r.Table.Serving(target)
	for range maxAttempts {
		snapshots := make([]backends.Snapshot, len(servers))
		for i, server := range servers {
			snapshots[i] = server.Snapshot()
		}
		decision := routing.Decide(r.routingRequest(run, target, exclude), snapshots, newRandom())
		chosen := decision.Chosen()
		run.considered(target, &decision)
		if chosen == nil {
			return nil
		}
		backend := servers[decision.Picked]
		if !backend.Begin(chosen.ColdBound) {
			continue
		}
		slot, err := r.coldSlot(ctx, run, chosen)
		if err == nil {
			return &acquired{backend: backend, id: chosen.Server.Server.ID, address: chosen.Server.Server.Address, started: r.Now(), slot: slot}
		}
		backend.Cancel()
		run.attempted(err.Error())
	}
	return nil
}

// coldSlot returns the slot that a call to a cold server needs; for a warm
// server it returns the zero slot.
func (r *Router) coldSlot(ctx context.Context, run *run, chosen *routing.Candidate) (coldstart.Slot, error) {
	if chosen.ColdBound <= 0 {
		return coldstart.Slot{}, nil
	}
	return r.Cold.Acquire(ctx, run.index, &chosen.Server)
}

func (r *Router) routingRequest(run *run, target string, exclude []string) *routing.Request {
	return &routing.Request{
		Target:        target,
		FailureDomain: r.FailureDomain,
		Now:           r.Now(),
		Exclude:       exclude,
		DomainOut:     run.index.DomainOut,
		ColdBound:     func(server *backends.Snapshot) int { return r.Cold.Bound(run.index, server) },
	}
}

// newRandom returns a random source of its own, so that decisions share no
// lock.
func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

func (r *Router) release(a *acquired, good bool) {
	took := r.Now().Sub(a.started)
	a.backend.End(took, good)
	r.Cold.Release(a.slot, a.id, took, good)
}
