package dispatch

import (
	"context"
	"errors"
	"fmt"
	"time"

	"medlarslip/internal/coordination/cascade"
	"medlarslip/internal/protocol/attempt"
	"medlarslip/internal/protocol/refusal"
	"medlarslip/internal/state/requests"
)

// stepAnswer is the complete answer of a step.
type stepAnswer struct {
	step   cascade.Step
	answer *attempt.Answer
	text   string
	took   time.Duration
	// rated is true if rating is set.
	rated  bool
	rating float64
}

// release releases the memory of an answer that is not used; nil has none.
func (t *stepAnswer) release() {
	if t != nil {
		t.answer.Held.Release()
	}
}

// tryStep tries servers of one version until one gives a complete answer.
func (r *Router) tryStep(ctx context.Context, u *run, call *ChatCall, step cascade.Step) (*stepAnswer, *refusal.Refusal) {
	var exclude []string
	lastErr := attempt.ErrNoServer
	for n := 0; n < maxAttempts && r.mayTry(step.VersionID, n); n++ {
		server := r.acquire(ctx, u, step.VersionID, exclude)
		if server == nil {
			break
		}
		answer, err := r.Engines.Complete(ctx, newEngineCall(call, step.VersionID, server.address, n+1))
		r.settle(server, callResult(ctx, err))
		u.recordResult(resultOf(err))
		if err == nil {
			u.mayHaveRun = true
			took := r.Now().Sub(server.started)
			r.Acceptance.ObserveDuration(call.Kind.Name, step.VersionID, took)
			return &stepAnswer{step: step, answer: answer, text: answer.Parsed.Choices[0].Message.Content, took: took}, nil
		}
		u.recordFailure(err)
		lastErr = err
		if ctx.Err() != nil || u.noMemory || errors.Is(err, attempt.ErrRejected) {
			break
		}
		exclude = append(exclude, server.id)
	}
	u.recordStep(requests.Step{VersionID: step.VersionID, Rollout: step.Rollout, Result: stepFailed}, 0)
	sample := sampleOf(call, step)
	sample.Failed = !errors.Is(lastErr, attempt.ErrNoServer) && !errors.Is(lastErr, attempt.ErrRejected) && !u.noMemory
	r.Learner.Observe(sample)
	return nil, stepRefusal(ctx, step.VersionID, lastErr)
}

func sampleOf(call *ChatCall, step cascade.Step) *Sample {
	return &Sample{Account: call.Account.Name, Kind: call.Kind.Name, Model: step.Model, VersionID: step.VersionID, Rollout: step.Rollout}
}

func newEngineCall(call *ChatCall, versionID, address string, number int) *attempt.EngineCall {
	return &attempt.EngineCall{
		Address:   address,
		VersionID: versionID,
		AttemptID: fmt.Sprintf("%s-%s-%d", call.RequestID, versionID, number),
		Priority:  call.Kind.Priority,
		Body:      call.Body,
		Memory:    call.Memory,
	}
}

func resultOf(err error) string {
	if err == nil {
		return outcomeAnswered
	}
	return err.Error()
}

// recordFailure records whether the engine may have processed the request, and
// whether it was at its limit.
func (u *run) recordFailure(err error) {
	certain := errors.Is(err, attempt.ErrUnreachable) || errors.Is(err, attempt.ErrBusy) || errors.Is(err, attempt.ErrRejected) || errors.Is(err, attempt.ErrBodyMemory)
	u.mayHaveRun = u.mayHaveRun || !certain
	u.overloaded = u.overloaded || errors.Is(err, attempt.ErrBusy)
	u.noMemory = u.noMemory || errors.Is(err, attempt.ErrMemory) || errors.Is(err, attempt.ErrBodyMemory)
}

func stepRefusal(ctx context.Context, versionID string, err error) *refusal.Refusal {
	switch {
	case ctx.Err() != nil:
		return refusal.New(refusal.KindDeadline, "the time of this kind of request is over", "ask again, or ask for a kind with more time").After(noBackendRetry)
	case errors.Is(err, attempt.ErrNoServer):
		return refusal.New(refusal.KindNoBackend, "no backend server takes work for "+versionID, "ask again after the given wait").After(noBackendRetry)
	case errors.Is(err, attempt.ErrRejected):
		return refusal.New(refusal.KindBadRequest, err.Error(), "correct the request")
	case errors.Is(err, attempt.ErrBodyMemory):
		return refusal.New(refusal.KindOverloaded, err.Error(), "send the request again, to another entry instance if there is one").After(noBackendRetry)
	case errors.Is(err, attempt.ErrBusy):
		return refusal.New(refusal.KindOverloaded, err.Error(), "ask again after the given wait").After(noBackendRetry)
	case errors.Is(err, attempt.ErrUnreachable):
		return refusal.New(refusal.KindBackendUnavailable, err.Error(), "ask again after the given wait").After(noBackendRetry)
	default:
		return refusal.New(refusal.KindBrokenAnswer, err.Error(), "ask again").After(noBackendRetry)
	}
}
