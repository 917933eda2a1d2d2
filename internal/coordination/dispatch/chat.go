package dispatch

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"

	"medlarslip/internal/coordination/cascade"
	"medlarslip/internal/coordination/configuration"
	"medlarslip/internal/coordination/session"
	"medlarslip/internal/protocol/attempt"
	"medlarslip/internal/protocol/document"
	"medlarslip/internal/protocol/openai"
	"medlarslip/internal/protocol/refusal"
)

// ChatCall is one chat completion request of an authenticated caller.
type ChatCall struct {
	RequestID string
	Config    *configuration.InForce
	Account   *document.ClientAccount
	Kind      *document.Kind
	Request   openai.ChatRequest
	// Body holds all fields of the request, undecoded.
	Body map[string]json.RawMessage
	// SessionToken is empty for a new session.
	SessionToken string
	// Memory accounts for what the request holds; nil sets no limit.
	Memory attempt.Memory
}

// Quality is the result of comparing an answer with the quality target.
type Quality string

const (
	// QualityMet means that the rating meets the target, or that the request has
	// no target because it names one version.
	QualityMet Quality = "met"
	// QualityUnrated means that the answer was not rated.
	QualityUnrated Quality = "unrated"
	// QualityBelowTarget means that even the strongest allowed version was
	// rated below the target. The answer is the one with the highest rating.
	QualityBelowTarget Quality = "below_target"
)

// ChatResult is a complete answer.
type ChatResult struct {
	Body         []byte
	VersionID    string
	SessionToken string
	Quality      Quality
}

// Results of a step.
const (
	stepAccepted    = "accepted"
	stepBelowTarget = "below_target"
	stepUnrated     = "unrated"
	stepFailed      = "failed"
)

// Chat answers a request that is not streamed. A step is tried only if its
// expected duration fits into the remaining time; otherwise the request is
// refused at once. If every allowed step is rated below the target, the best
// answer is returned as QualityBelowTarget, since a retry by the caller could
// not give a better one.
func (r *Router) Chat(ctx context.Context, call *ChatCall) (*ChatResult, *refusal.Refusal) {
	u := r.newChatRun(call)
	plan, token, refused := r.plan(u, call)
	if refused != nil {
		return nil, u.refuse(ctx, refused)
	}
	deadline, cancel := context.WithTimeout(ctx, u.remaining())
	defer cancel()
	if refused := r.admit(deadline, u, call.Kind.Priority, plan.ExpectedDuration(0)); refused != nil {
		return nil, u.refuse(ctx, refused)
	}
	best, refused := r.trySteps(deadline, u, call, plan)
	if refused != nil {
		return nil, u.refuse(ctx, refused)
	}
	return r.answer(ctx, u, token, plan, best)
}

// trySteps returns the first answer that is accepted or, after the last step,
// the one with the highest rating.
func (r *Router) trySteps(ctx context.Context, u *run, call *ChatCall, plan *cascade.Plan) (*stepAnswer, *refusal.Refusal) {
	var best *stepAnswer
	for i, step := range plan.Steps {
		if refused := checkTime(u, plan, i); refused != nil {
			return nil, refused
		}
		t, refused := r.tryStep(ctx, u, call, step)
		last := i == len(plan.Steps)-1
		if refused != nil && (last || ctx.Err() != nil || u.noMemory) {
			return nil, refused
		}
		if refused != nil {
			continue
		}
		if r.evaluate(ctx, u, call, plan, i, t) {
			return t, nil
		}
		if t.rated && (best == nil || t.rating >= best.rating) {
			best, t = t, best
		}
		t.release()
	}
	if best == nil {
		return nil, refusal.New(refusal.KindInternal, "the plan has no step", "report this to the operators")
	}
	return best, nil
}

// checkTime refuses a request if its next step is expected to end after the
// deadline.
func checkTime(u *run, plan *cascade.Plan, i int) *refusal.Refusal {
	remaining := u.remaining()
	if remaining > 0 && remaining >= plan.ExpectedDuration(i) {
		return nil
	}
	return cascade.DeadlineRefusal(max(remaining, 0))
}

// newChatRun returns the state of a chat completion request.
func (r *Router) newChatRun(call *ChatCall) *run {
	u := r.newRun(call.RequestID, call.Request.Model, call.Kind.Name, call.Account, call.Config.Index, call.Config.Envelope.Number)
	u.deadline = u.started.Add(time.Duration(call.Kind.TotalMillis) * time.Millisecond)
	u.prefixHash = prefixHash(call.Body["messages"])
	return u
}

// prefixBytes is the length of the prompt prefix that is hashed, so that
// requests with the same prefix are routed to the same prefix caches.
const prefixBytes = 256

func prefixHash(messages []byte) uint64 {
	return xxhash.Sum64(messages[:min(len(messages), prefixBytes)])
}

// plan verifies the session token and plans the steps. The returned token is
// that of the session, new or continued.
func (r *Router) plan(u *run, call *ChatCall) (*cascade.Plan, session.Token, *refusal.Refusal) {
	token := session.Token{Account: call.Account.Name, ID: call.RequestID}
	if refused := r.checkBills(); refused != nil {
		return nil, token, refused
	}
	if call.SessionToken != "" {
		read, err := r.Sessions.Read(call.SessionToken, call.Account.Name)
		if err != nil {
			return nil, token, refusal.New(refusal.KindBadRequest, err.Error(), "leave out the session token to start a new session")
		}
		token = read
	}
	plan, refused := cascade.NewPlan(call.Config.Index, &cascade.Request{
		Account:    call.Account,
		Kind:       call.Kind,
		Model:      call.Request.Model,
		RequestID:  call.RequestID,
		SessionID:  token.ID,
		Session:    token.Versions,
		Stream:     call.Request.Stream,
		RatingDown: r.Ratings.Down(r.Now()),
		Remaining:  u.remaining(),
		Halted:     r.Learner.Halted,
		Learner:    r.Acceptance,
	})
	u.recordPlan(plan, token)
	return plan, token, refused
}

func totalTokens(answer *attempt.Answer) int64 {
	if answer.Parsed.Usage == nil {
		return 0
	}
	return answer.Parsed.Usage.TotalTokens
}

// answer ends the request with a complete answer.
func (r *Router) answer(ctx context.Context, u *run, token session.Token, plan *cascade.Plan, t *stepAnswer) (*ChatResult, *refusal.Refusal) {
	text, err := r.Sessions.Sign(withVersion(token, t.step))
	if err != nil {
		return nil, u.refuse(ctx, refusal.New(refusal.KindInternal, err.Error(), "report this to the operators"))
	}
	quality := qualityOf(plan, t)
	u.explanation.Quality = string(quality)
	u.finish(ctx, outcomeAnswered, "")
	return &ChatResult{Body: t.answer.Body, VersionID: t.step.VersionID, SessionToken: text, Quality: quality}, nil
}

func qualityOf(plan *cascade.Plan, t *stepAnswer) Quality {
	switch {
	case plan.QualityTarget == 0:
		return QualityMet
	case !t.rated:
		return QualityUnrated
	case t.rating < plan.QualityTarget:
		return QualityBelowTarget
	default:
		return QualityMet
	}
}

// withVersion returns a copy of the token that also keeps the version of a step.
func withVersion(token session.Token, step cascade.Step) session.Token {
	versions := map[string]string{}
	for model, version := range token.Versions {
		versions[model] = version
	}
	versions[step.Model] = step.VersionID
	token.Versions = versions
	return token
}
