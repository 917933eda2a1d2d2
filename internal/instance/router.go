package instance

import (
	"time"

	"medlarslip/internal/coordination/audit"
	"medlarslip/internal/coordination/cascade"
	"medlarslip/internal/coordination/dispatch"
	"medlarslip/internal/coordination/overload"
	"medlarslip/internal/coordination/rollout"
	"medlarslip/internal/coordination/session"
	"medlarslip/internal/transport/engine"
	"medlarslip/internal/transport/plainservice"
)

// decisions holds the parts that learn from the requests of an instance. The
// states of monitor and acceptance are exchanged with the other instances by
// Export and Merge.
type decisions struct {
	monitor    *rollout.Monitor
	acceptance *cascade.Learner
	shares     *overload.Divider
	// halted signals that a halt is to be published at once.
	halted chan struct{}
	// trail writes the audit records of halts; nil writes none.
	trail *audit.Trail
}

func (a *assembly) addDecisions() {
	d := &a.decisions
	d.halted = make(chan struct{}, 1)
	d.trail = a.trail
	d.monitor = rollout.New(a.settings.Instance+"/"+a.incarnation, a.index, d, time.Now)
	d.acceptance = cascade.NewLearner()
	d.shares = overload.NewDivider(a.settings.Instance, a.members.EntryIDs, time.Now)
	a.servingTasks = append(a.servingTasks, d.shares.Run, a.publishLearned)
}

// newRouter returns the router of requests, which uses the parts of the assembly.
func (a *assembly) newRouter() *dispatch.Router {
	return &dispatch.Router{
		FailureDomain:   a.settings.FailureDomain,
		Config:          a.store,
		Table:           a.table,
		Engines:         engine.New(a.backendPool),
		Services:        plainservice.New(a.backendPool),
		Rater:           a.platform,
		Bookings:        a.bookings,
		Biller:          a.bills,
		BillsFull:       a.bills.Full,
		Cold:            a.cold,
		Learner:         a.decisions.monitor,
		Sessions:        session.NewSigner(a.sharedKey, time.Now),
		Explanations:    a.explanations,
		Now:             time.Now,
		Acceptance:      a.decisions.acceptance,
		Ratings:         &cascade.RatingHealth{},
		Gate:            overload.NewGate(time.Now),
		Shares:          a.decisions.shares,
		LateRatingBytes: a.settings.Limits.LateRatingBytes(),
		EntryCount:      func() int { return len(a.members.EntryIDs()) },
	}
}

// rollouts returns the status of the rollouts of the document in force.
func (a *assembly) rollouts() []rollout.Status {
	return a.decisions.monitor.Statuses(func(versionID string) int { return len(a.table.Serving(versionID)) })
}
