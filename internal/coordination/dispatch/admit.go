package dispatch

import (
	"context"
	"time"

	"medlarslip/internal/coordination/overload"
	"medlarslip/internal/protocol/refusal"
)

// admit takes the request on, where needed after a wait. The place is held
// until the run is finished.
func (r *Router) admit(ctx context.Context, u *run, priority int, expected time.Duration) *refusal.Refusal {
	if r.Gate == nil {
		return nil
	}
	limit := u.account.MaxInFlight
	if r.Shares != nil {
		r.awaitShare(ctx, u, expected)
		limit = r.Shares.Share(u.account.Name, limit)
	}
	ticket, refused := r.Gate.Admit(ctx, overload.Work{
		Account:  u.account.Name,
		Weight:   u.account.MaxInFlight,
		Limit:    limit,
		Priority: priority,
		Deadline: u.deadline,
		Expected: expected,
	})
	u.ticket = ticket
	return refused
}

// awaitShare waits, just after the start of this instance, until it may take
// a share of the limits, or until waiting would make the answer late.
func (r *Router) awaitShare(ctx context.Context, u *run, expected time.Duration) {
	select {
	case <-r.Shares.Ready():
		return
	default:
	}
	timer := time.NewTimer(u.remaining() - expected)
	defer timer.Stop()
	select {
	case <-r.Shares.Ready():
	case <-timer.C:
	case <-ctx.Done():
	}
}

// releaseTicket gives up the place of the request.
func (u *run) releaseTicket(overloaded bool) {
	if u.ticket == nil {
		return
	}
	result := overload.ResultOK
	if overloaded {
		result = overload.ResultOverloaded
	}
	u.ticket.Release(result)
	u.ticket = nil
}
