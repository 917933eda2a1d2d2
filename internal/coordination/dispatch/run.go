package dispatch

import (
	"context"
	"time"

	"medlarslip/internal/coordination/routing"
	"medlarslip/internal/protocol/document"
	"medlarslip/internal/protocol/records"
	"medlarslip/internal/protocol/refusal"
	"medlarslip/internal/state/requests"
)

// Outcomes of a request, as explanations and bills show them.
const outcomeAnswered = "answered"

// run is one request on its way. It belongs to one goroutine.
type run struct {
	router  *Router
	index   *document.Index
	account *document.ClientAccount
	started time.Time
	// mayHaveRun is true once any backend server may have acted.
	mayHaveRun  bool
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
			Asked:         asked,
			Kind:          kind,
			Started:       now,
			Configuration: number,
		},
	}
}

// considered notes a routing decision.
func (u *run) considered(target string, decision *routing.Decision) {
	noted := requests.Attempt{Target: target}
	if chosen := decision.Chosen(); chosen != nil {
		noted.Picked = chosen.Server.Server.ID
	}
	candidates := make([]requests.Candidate, len(decision.Candidates))
	for i, candidate := range decision.Candidates {
		candidates[i] = requests.Candidate{ID: candidate.Server.Server.ID, Dropped: candidate.Dropped, Score: candidate.Score}
	}
	noted.Candidates = requests.TrimCandidates(candidates)
	u.explanation.Attempts = append(u.explanation.Attempts, noted)
}

// attempted notes what became of the last decision.
func (u *run) attempted(result string) {
	if last := len(u.explanation.Attempts) - 1; last >= 0 {
		u.explanation.Attempts[last].Result = result
	}
}

// stepDone notes the end of a step on explanation and bill.
func (u *run) stepDone(step requests.Step, tokens int64) {
	u.explanation.Steps = append(u.explanation.Steps, step)
	u.bill.Steps = append(u.bill.Steps, records.BillStep{VersionID: step.VersionID, Tokens: tokens, Micros: step.Micros, Result: step.Result})
}

// refuse ends the request without an answer. A refusal says not_run only
// where no backend server may have acted.
func (u *run) refuse(ctx context.Context, refused *refusal.Refusal) *refusal.Refusal {
	refused.RequestID = u.bill.RequestID
	if u.mayHaveRun {
		refused.Outcome = refusal.Unknown
	}
	u.finish(ctx, string(refused.Outcome), refused.Message)
	return refused
}

// finish bills the request and keeps its explanation.
func (u *run) finish(ctx context.Context, outcome, reason string) {
	u.bill.Outcome = outcome
	u.explanation.Outcome = outcome
	u.explanation.Reason = reason
	u.explanation.TookMS = u.router.Now().Sub(u.started).Milliseconds()
	if outcome == outcomeAnswered || len(u.bill.Steps) > 0 {
		u.router.Biller.Bill(ctx, &u.bill)
	}
	u.router.Explanations.Add(&u.explanation)
}

// micros returns the price of tokens of a version.
func (u *run) micros(versionID string, tokens int64) int64 {
	const priceUnit = 1000 // tokens that a price is given for
	version := u.index.Version(versionID)
	if version == nil {
		return 0
	}
	return (tokens*version.MicrosPerThousandTokens + priceUnit - 1) / priceUnit
}
