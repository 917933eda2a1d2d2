package dispatch

import (
	"context"
	"time"

	"medlarslip/internal/coordination/cascade"
	"medlarslip/internal/coordination/overload"
	"medlarslip/internal/coordination/routing"
	"medlarslip/internal/coordination/session"
	"medlarslip/internal/protocol/document"
	"medlarslip/internal/protocol/records"
	"medlarslip/internal/protocol/refusal"
	"medlarslip/internal/state/requests"
)

// outcomeAnswered is the outcome of an answered request, in explanations and
// bills.
const outcomeAnswered = "answered"

// run is the state of one request. It belongs to one goroutine.
type run struct {
	router  *Router
	index   *document.Index
	account *document.ClientAccount
	started time.Time
	// deadline is when the answer must be complete; zero if there is none.
	deadline   time.Time
	prefixHash uint64
	ticket     *overload.Ticket
	// mayHaveRun is true once a backend server may have processed the request.
	mayHaveRun bool
	// overloaded is true once a backend server was at its limit.
	overloaded bool
	// noMemory is true once an answer, or the request for an engine, did not fit into the memory for callers. Another
	// attempt would fail for the same reason.
	noMemory    bool
	bill        records.Bill
	explanation requests.Explanation
}

func (r *Router) newRun(requestID, asked, kind string, account *document.ClientAccount, index *document.Index, number int64) *run {
	now := r.Now()
	return &run{
		router:  r,
		index:   index,
		account: account,
		started: now,
		bill:    records.Bill{RequestID: requestID, Account: account.Name},
		explanation: requests.Explanation{
			RequestID:     requestID,
			Account:       account.Name,
			Requested:     asked,
			Kind:          kind,
			Started:       now,
			Configuration: number,
		},
	}
}

// remaining returns the time until the deadline; 0 if there is none, and
// negative once it has passed.
func (u *run) remaining() time.Duration {
	if u.deadline.IsZero() {
		return 0
	}
	return u.deadline.Sub(u.router.Now())
}

// recordPlan adds the plan of the steps to the explanation. A nil plan is that of
// a refused request.
func (u *run) recordPlan(plan *cascade.Plan, token session.Token) {
	u.explanation.Session = token.ID
	if plan == nil {
		return
	}
	u.explanation.PlanReason = plan.Reason
	for _, option := range plan.Options {
		u.explanation.Options = append(u.explanation.Options, requests.Option{
			VersionID:     option.Step.VersionID,
			Rollout:       option.Step.Rollout,
			Acceptance:    option.Acceptance.Mean,
			AcceptanceLow: option.Acceptance.Low,
			Ratings:       option.Acceptance.Observed,
			Price:         option.Price,
			ExpectedMS:    option.Duration.Milliseconds(),
			Chosen:        option.Chosen,
		})
	}
}

// recordDecision adds a routing decision to the explanation.
func (u *run) recordDecision(target string, decision *routing.Decision) {
	noted := requests.Attempt{Target: target, InView: decision.InView}
	if chosen := decision.Chosen(); chosen != nil {
		noted.Picked = chosen.Server.Server.ID
	}
	candidates := make([]requests.Candidate, len(decision.Candidates))
	for i := range decision.Candidates {
		candidate := &decision.Candidates[i]
		candidates[i] = requests.Candidate{
			ID: candidate.Server.Server.ID, Dropped: candidate.Dropped, Score: candidate.Score,
			InFlight: candidate.Server.InFlight, PrefixCache: candidate.Affine, Bound: candidate.Bound,
		}
	}
	noted.Candidates, noted.Omitted = requests.TrimCandidates(candidates, noted.Picked)
	u.explanation.Attempts = append(u.explanation.Attempts, noted)
}

// recordResult adds the result of the last decision to the explanation.
func (u *run) recordResult(result string) {
	if last := len(u.explanation.Attempts) - 1; last >= 0 {
		u.explanation.Attempts[last].Result = result
	}
}

// recordStep adds the end of a step to the explanation and the bill.
func (u *run) recordStep(step requests.Step, tokens int64) {
	u.explanation.Steps = append(u.explanation.Steps, step)
	u.explanation.Micros += step.Micros
	u.bill.Steps = append(u.bill.Steps, records.BillStep{VersionID: step.VersionID, Tokens: tokens, Micros: step.Micros, Result: step.Result})
}

// refuse ends the request without an answer. The refusal states not_run only if
// no backend server can have processed the request.
func (u *run) refuse(ctx context.Context, refused *refusal.Refusal) *refusal.Refusal {
	refused.RequestID = u.bill.RequestID
	if u.mayHaveRun {
		refused.Outcome = refusal.Unknown
		if refused.Kind == refusal.KindOverloaded || refused.Kind == refusal.KindNoBackend {
			// Their statuses, 429 and 503, would state that nothing has run.
			refused.Kind = refusal.KindBrokenAnswer
		}
	}
	u.finish(ctx, string(refused.Outcome), refused.Message)
	return refused
}

// finish releases the ticket of the request, bills it if it was answered or ran
// a step, and stores its explanation.
func (u *run) finish(ctx context.Context, outcome, reason string) {
	late := u.remaining() < 0
	u.releaseTicket(u.overloaded || late)
	u.bill.Outcome = outcome
	u.explanation.Outcome = outcome
	u.explanation.Reason = reason
	u.explanation.TookMS = u.router.Now().Sub(u.started).Milliseconds()
	if outcome == outcomeAnswered || len(u.bill.Steps) > 0 {
		u.router.Biller.Bill(ctx, &u.bill)
	}
	u.router.Explanations.Add(&u.explanation)
}

// micros returns the price of tokens of a version, rounded up to whole micros; 0
// for an unknown version.
func (u *run) micros(versionID string, tokens int64) int64 {
	const priceUnit = 1000 // tokens that a price is given for
	version := u.index.Version(versionID)
	if version == nil {
		return 0
	}
	return (tokens*version.MicrosPerThousandTokens + priceUnit - 1) / priceUnit
}
