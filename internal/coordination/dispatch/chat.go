package dispatch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"medlarslip/internal/coordination/cascade"
	"medlarslip/internal/coordination/configuration"
	"medlarslip/internal/coordination/session"
	"medlarslip/internal/protocol/attempt"
	"medlarslip/internal/protocol/document"
	"medlarslip/internal/protocol/openai"
	"medlarslip/internal/protocol/platform"
	"medlarslip/internal/protocol/refusal"
	"medlarslip/internal/state/requests"
)

// ChatCall is one chat completion request of an authenticated caller.
type ChatCall struct {
	RequestID string
	Config    *configuration.InForce
	Account   *document.ClientAccount
	Kind      *document.Kind
	Request   openai.ChatRequest
	// Body holds all fields of the request.
	Body map[string]json.RawMessage
	// SessionToken is empty for a new session.
	SessionToken string
}

// ChatResult is a whole answer.
type ChatResult struct {
	Body         []byte
	VersionID    string
	SessionToken string
}

// Results of a step.
const (
	stepAccepted    = "accepted"
	stepBelowTarget = "below_target"
	stepUnrated     = "unrated"
	stepFailed      = "failed"
)

// ratingTimeout bounds the wait for one rating.
const ratingTimeout = 2 * time.Second

// Chat answers a request as a whole.
func (r *Router) Chat(ctx context.Context, call *ChatCall) (*ChatResult, *refusal.Refusal) {
	u := r.newRun(call.RequestID, call.Request.Model, call.Kind.Name, call.Account, call.Config.Index, call.Config.Envelope.Number)
	plan, token, refused := r.plan(call)
	if refused != nil {
		return nil, u.refuse(ctx, refused)
	}
	deadline, cancel := context.WithTimeout(ctx, time.Duration(call.Kind.TotalMillis)*time.Millisecond)
	defer cancel()
	for i, step := range plan.Steps {
		answer, refused := r.tryStep(deadline, u, call, step)
		last := i == len(plan.Steps)-1
		if refused != nil {
			if last || deadline.Err() != nil {
				return nil, u.refuse(ctx, refused)
			}
			continue
		}
		if last || r.goodEnough(deadline, u, call, plan, step, answer) {
			return r.answer(ctx, u, call, token, step, answer, last)
		}
	}
	return nil, u.refuse(ctx, refusal.New(refusal.KindInternal, "the plan has no step", "report this to the operators"))
}

// plan reads the session token and plans the steps.
func (r *Router) plan(call *ChatCall) (*cascade.Plan, session.Token, *refusal.Refusal) {
	token := session.Token{Account: call.Account.Name}
	if refused := r.billable(); refused != nil {
		return nil, token, refused
	}
	if call.SessionToken != "" {
		read, err := r.Sessions.Read(call.SessionToken, call.Account.Name)
		if err != nil {
			return nil, token, refusal.New(refusal.KindBadRequest, err.Error(), "leave out the session token to start a new session")
		}
		token = read
	}
	plan, refused := cascade.Make(call.Config.Index, &cascade.Request{
		Account:   call.Account,
		Model:     call.Request.Model,
		RequestID: call.RequestID,
		Session:   token.Versions,
		Stream:    call.Request.Stream,
		Halted:    r.Learner.Halted,
	})
	return plan, token, refused
}

// tryStep asks servers of one version until one gives a whole answer.
func (r *Router) tryStep(ctx context.Context, u *run, call *ChatCall, step cascade.Step) (*attempt.Answer, *refusal.Refusal) {
	var exclude []string
	lastErr := attempt.ErrNoServer
	for n := range maxAttempts {
		server := r.acquire(ctx, u, step.VersionID, exclude)
		if server == nil {
			break
		}
		engineCall := newEngineCall(call, step.VersionID, server.address, n+1)
		answer, err := r.Engines.Complete(ctx, engineCall)
		r.release(server, err == nil)
		u.attempted(resultOf(err))
		if err == nil {
			u.mayHaveRun = true
			return answer, nil
		}
		u.noteFailure(err)
		lastErr = err
		if ctx.Err() != nil || errors.Is(err, attempt.ErrRejected) {
			break
		}
		exclude = append(exclude, server.id)
	}
	u.stepDone(requests.Step{VersionID: step.VersionID, Rollout: step.Rollout, Result: stepFailed}, 0)
	r.Learner.Observe(&Sample{Account: call.Account.Name, Kind: call.Kind.Name, Model: step.Model, VersionID: step.VersionID, Rollout: step.Rollout, Failed: !errors.Is(lastErr, attempt.ErrNoServer)})
	return nil, stepRefusal(ctx, step.VersionID, lastErr)
}

func newEngineCall(call *ChatCall, versionID, address string, number int) *attempt.EngineCall {
	return &attempt.EngineCall{
		Address:   address,
		VersionID: versionID,
		AttemptID: fmt.Sprintf("%s-%s-%d", call.RequestID, versionID, number),
		Priority:  call.Kind.Priority,
		Body:      call.Body,
	}
}

func resultOf(err error) string {
	if err == nil {
		return outcomeAnswered
	}
	return err.Error()
}

// noteFailure remembers whether the engine may have acted.
func (u *run) noteFailure(err error) {
	certain := errors.Is(err, attempt.ErrUnreachable) || errors.Is(err, attempt.ErrBusy) || errors.Is(err, attempt.ErrRejected)
	u.mayHaveRun = u.mayHaveRun || !certain
}

func stepRefusal(ctx context.Context, versionID string, err error) *refusal.Refusal {
	switch {
	case ctx.Err() != nil:
		return refusal.New(refusal.KindDeadline, "the time of this kind of request is over", "ask again, or ask for a kind with more time").After(noBackendRetry)
	case errors.Is(err, attempt.ErrNoServer):
		return refusal.New(refusal.KindNoBackend, "no backend server takes work for "+versionID, "ask again after the given wait").After(noBackendRetry)
	case errors.Is(err, attempt.ErrRejected):
		return refusal.New(refusal.KindBadRequest, err.Error(), "correct the request")
	case errors.Is(err, attempt.ErrBusy):
		return refusal.New(refusal.KindOverloaded, err.Error(), "ask again after the given wait").After(noBackendRetry)
	case errors.Is(err, attempt.ErrUnreachable):
		return refusal.New(refusal.KindBackendUnavailable, err.Error(), "ask again after the given wait").After(noBackendRetry)
	default:
		return refusal.New(refusal.KindBrokenAnswer, err.Error(), "ask again").After(noBackendRetry)
	}
}

// goodEnough rates the answer of a step that is not the last. Without a
// rating the answer is not given, since it may be below the target.
func (r *Router) goodEnough(ctx context.Context, u *run, call *ChatCall, plan *cascade.Plan, step cascade.Step, answer *attempt.Answer) bool {
	ctx, cancel := context.WithTimeout(ctx, ratingTimeout)
	defer cancel()
	rating, err := r.Rater.Rate(ctx, &platform.RatingRequest{
		RequestID: call.RequestID,
		VersionID: step.VersionID,
		Prompt:    promptText(call.Request.Messages),
		Answer:    answer.Parsed.Choices[0].Message.Content,
	})
	tokens := totalTokens(answer)
	noted := requests.Step{VersionID: step.VersionID, Rollout: step.Rollout, Micros: u.micros(step.VersionID, tokens), Result: stepUnrated}
	sample := &Sample{Account: call.Account.Name, Kind: call.Kind.Name, Model: step.Model, VersionID: step.VersionID, Rollout: step.Rollout}
	if err == nil {
		noted.Rating, noted.Result = rating.Score, stepBelowTarget
		sample.Rated, sample.Rating = true, rating.Score
	}
	good := err == nil && rating.Score >= plan.QualityTarget
	if good {
		noted.Result = stepAccepted
	}
	u.stepDone(noted, tokens)
	r.Learner.Observe(sample)
	return good
}

func promptText(messages []openai.Message) string {
	if len(messages) == 0 {
		return ""
	}
	return string(messages[len(messages)-1].Content)
}

func totalTokens(answer *attempt.Answer) int64 {
	if answer.Parsed.Usage == nil {
		return 0
	}
	return answer.Parsed.Usage.TotalTokens
}

// answer ends the request with a whole answer.
func (r *Router) answer(ctx context.Context, u *run, call *ChatCall, token session.Token, step cascade.Step, answer *attempt.Answer, unratedLast bool) (*ChatResult, *refusal.Refusal) {
	if unratedLast {
		tokens := totalTokens(answer)
		u.stepDone(requests.Step{VersionID: step.VersionID, Rollout: step.Rollout, Result: stepAccepted, Micros: u.micros(step.VersionID, tokens)}, tokens)
		r.Learner.Observe(&Sample{Account: call.Account.Name, Kind: call.Kind.Name, Model: step.Model, VersionID: step.VersionID, Rollout: step.Rollout})
	}
	text, err := r.Sessions.Sign(withVersion(token, step))
	if err != nil {
		return nil, u.refuse(ctx, refusal.New(refusal.KindInternal, err.Error(), "report this to the operators"))
	}
	u.finish(ctx, outcomeAnswered, "")
	return &ChatResult{Body: answer.Body, VersionID: step.VersionID, SessionToken: text}, nil
}

// withVersion returns the token with the version of a step kept.
func withVersion(token session.Token, step cascade.Step) session.Token {
	versions := map[string]string{}
	for model, version := range token.Versions {
		versions[model] = version
	}
	versions[step.Model] = step.VersionID
	token.Versions = versions
	return token
}
