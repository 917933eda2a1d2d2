package dispatch

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"medlarslip/internal/coordination/coldstart"
	"medlarslip/internal/coordination/retrybudget"
	"medlarslip/internal/coordination/routing"
	"medlarslip/internal/protocol/attempt"
	"medlarslip/internal/state/backends"
)

// serverCall is a backend server with a call of this request begun on it.
type serverCall struct {
	backend *backends.Backend
	id      string
	address string
	started time.Time
	// latency is the server's usual time to a good answer; 0 while unknown.
	latency time.Duration
	slot    coldstart.Slot
}

// acquire chooses a backend server and begins a call on it. It returns nil
// where none may take the work.
func (r *Router) acquire(ctx context.Context, run *run, target string, exclude []string) *serverCall {
	servers := backends.List(r.Table.Serving(target))
	for range maxAttempts {
		decision := routing.Decide(r.routingRequest(run, target, exclude), servers, newRandom())
		chosen := decision.Chosen()
		run.recordDecision(target, &decision)
		if chosen == nil {
			return nil
		}
		backend := servers[chosen.Index]
		if !backend.Begin(chosen.Bound) {
			continue
		}
		slot, err := r.coldSlot(ctx, run, chosen)
		if err == nil {
			server := &chosen.Server
			return &serverCall{backend: backend, id: server.Server.ID, address: server.Server.Address, started: r.Now(), latency: server.Latency, slot: slot}
		}
		backend.Cancel()
		run.recordResult(err.Error())
	}
	return nil
}

// coldSlot returns the slot that a call to a cold server needs; for a warm
// server it returns the zero slot.
func (r *Router) coldSlot(ctx context.Context, run *run, chosen *routing.Candidate) (coldstart.Slot, error) {
	if !chosen.Cold {
		return coldstart.Slot{}, nil
	}
	return r.Cold.Acquire(ctx, run.index, &chosen.Server)
}

func (r *Router) routingRequest(run *run, target string, exclude []string) *routing.Request {
	entries := 1
	if r.EntryCount != nil {
		entries = r.EntryCount()
	}
	return &routing.Request{
		Target:        target,
		FailureDomain: r.FailureDomain,
		Now:           r.Now(),
		Remaining:     run.remaining(),
		Entries:       entries,
		Exclude:       exclude,
		PrefixHash:    run.prefixHash,
		DomainOut:     run.index.DomainOut,
		ColdBound:     func(server *backends.Snapshot) int { return r.Cold.Bound(run.index, server) },
	}
}

// newRandom returns a random source of its own, so that decisions share no
// lock.
func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// release ends a call that was good or failed by the server's fault.
func (r *Router) release(a *serverCall, good bool) {
	if good {
		r.settle(a, backends.CallGood)
		return
	}
	r.settle(a, backends.CallFailed)
}

func (r *Router) settle(a *serverCall, result backends.CallResult) {
	now := r.Now()
	took := now.Sub(a.started)
	a.backend.Settle(now, took, result)
	if result != backends.CallNeutral || a.slot != (coldstart.Slot{}) {
		r.Cold.Release(a.slot, a.id, took, result == backends.CallGood)
	}
}

// callResult says what the end of a call tells about the server. One that was
// full, found fault with the request, or was cancelled by this side is none
// the worse for it.
func callResult(ctx context.Context, err error) backends.CallResult {
	switch {
	case err == nil:
		return backends.CallGood
	case errors.Is(err, attempt.ErrBusy):
		return backends.CallBusy
	case errors.Is(err, attempt.ErrRejected), errors.Is(ctx.Err(), context.Canceled):
		return backends.CallNeutral
	default:
		return backends.CallFailed
	}
}

// retryOptions bound the retries and hedged reads of one instance to a share of
// its first attempts, so that servers which fall out are not followed by a
// storm of retries.
var retryOptions = retrybudget.Options{Window: 10 * time.Second, Ratio: 0.1, Slack: 20}

// mayTry counts the nth attempt at a target, from 0, and reports whether the
// retry budget allows it.
func (r *Router) mayTry(target string, n int) bool {
	budget := r.budgets.Of(target)
	if n == 0 {
		budget.CountFirst(r.Now(), &retryOptions)
		return true
	}
	return budget.Take(r.Now(), &retryOptions, 1, 1)
}
