package instance

import (
	"time"

	"medlarslip/internal/coordination/dispatch"
	"medlarslip/internal/coordination/rollout"
	"medlarslip/internal/coordination/session"
	"medlarslip/internal/transport/engine"
	"medlarslip/internal/transport/plainservice"
)

// newRouter returns the router of requests over the assembled parts.
func (a *assembly) newRouter() *dispatch.Router {
	return &dispatch.Router{
		FailureDomain: a.settings.FailureDomain,
		Config:        a.store,
		Table:         a.table,
		Engines:       engine.New(a.backendPool),
		Services:      plainservice.New(a.backendPool),
		Rater:         a.platform,
		Bookings:      a.bookings,
		Biller:        a.bills,
		Cold:          a.cold,
		Learner:       &rollout.Watcher{},
		Sessions:      session.NewSigner(a.sharedKey, time.Now),
		Explanations:  a.explanations,
		Now:           time.Now,
	}
}
