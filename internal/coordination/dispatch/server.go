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

// serverCall is a call of this request in flight to a backend server.
type serverCall struct {
	backend *backends.Backend
	id      string
	address string
	started time.Time
	// latency is the usual time of the server to a good answer; 0 if unknown.
	latency time.Duration
	slot    coldstart.Slot
}

// acquire chooses a backend server and begins a call on it. It returns nil if
// none is available.
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

// coldSlot returns the slot that a call to a cold server needs; for a warm server
// it returns the zero Slot.
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

// newRandom returns a new random source, so that decisions share no lock.
func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// release ends a call that succeeded or failed through a fault of the server.
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

// callResult returns what the end of a call implies for the server. A call that
// found the server at its limit, that the server rejected as invalid, that
// this side has no memory for, or that this side cancelled is no failure of the server.
func callResult(ctx context.Context, err error) backends.CallResult {
	switch {
	case err == nil:
		return backends.CallGood
	case errors.Is(err, attempt.ErrBusy):
		return backends.CallBusy
	case errors.Is(err, attempt.ErrRejected), errors.Is(err, attempt.ErrMemory), errors.Is(err, attempt.ErrBodyMemory), errors.Is(ctx.Err(), context.Canceled):
		return backends.CallNeutral
	default:
		return backends.CallFailed
	}
}

// retryOptions limits the retries and hedged reads of one instance to a share of
// its first attempts, so that the failure of servers does not cause a retry
// storm.
var retryOptions = retrybudget.Options{Window: 10 * time.Second, Ratio: 0.1, Slack: 20}

// mayTry counts attempt n, from 0, at a target and reports whether the retry
// budget allows it. The first attempt is always allowed.
func (r *Router) mayTry(target string, n int) bool {
	budget := r.budgets.Of(target)
	if n == 0 {
		budget.CountFirst(r.Now(), &retryOptions)
		return true
	}
	return budget.Take(r.Now(), &retryOptions, 1, 1)
}
