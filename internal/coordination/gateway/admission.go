package gateway

import (
	"context"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"medlarslip/internal/coordination/admission"
	"medlarslip/internal/coordination/routing"
	"medlarslip/internal/coordination/staging"
	"medlarslip/internal/state/backends"
)

// droppedNoCapacity is the cause for which a server without free capacity for the rank of a
// request is excluded.
const droppedNoCapacity = "no_capacity"

// capacityState is the state of a request with regard to waiting for capacity.
type capacityState struct {
	// waited is the time that the request has waited.
	waited time.Duration
	// keptSince is since when a weak answer is kept while the stronger run waits; zero if none
	// is.
	keptSince time.Time
	// resumed is true while a server is sought to resume a stream.
	resumed bool
	// failover is true while a watchdog seeks a server that takes over from a silent one. It does not wait, and a
	// lack of capacity is no refusal.
	failover bool
	// givenUp is true once a run was given up for lack of capacity. refusedFor is the cause.
	givenUp    bool
	refusedFor string
	retryAfter time.Duration
	// drawn is true once it was drawn whether the request is above the share of its account,
	// and excess is the result.
	drawn, excess bool
}

// log adds the fields of a request that waited or is above the share of its account.
func (c *capacityState) log(fields logrus.Fields) {
	if c.waited > 0 {
		fields["queued_ms"] = c.waited.Milliseconds()
	}
	if c.excess {
		fields["excess"] = true
	}
}

// capacityWait lets the choice of a server wait for capacity.
type capacityWait struct {
	gateway *Gateway
	req     *request
	// off is true if the choice does not wait.
	off bool
	// rank is the rank of the request, one lower for a request above the share of its account.
	rank int
	// usage is the latest usage of the service.
	usage       admission.Usage
	waited      time.Duration
	stage       staging.Stage
	unconfirmed bool
	ticket      *admission.Ticket
	wake        chan struct{}
}

// underPressure reports whether the settings state that callers compete for insufficient capacity. It alone
// switches admission on, since that makes requests wait and refuses some. byCost is wider: it changes only
// which servers and which stronger runs are chosen, so the reports of servers suffice for it.
func (g *Gateway) underPressure() bool { return g.Pressure != nil && g.Pressure() }

// newCapacityWait returns the wait of one choice. A stream that is resumed does not wait,
// since its client has received a part of it.
func (g *Gateway) newCapacityWait(req *request, stage staging.Stage, unconfirmed bool) *capacityWait {
	w := &capacityWait{gateway: g, req: req, stage: stage, unconfirmed: unconfirmed}
	w.rank = w.baseRank()
	w.off = !g.underPressure() || req.capacity.resumed
	return w
}

// decide chooses among the servers with capacity for the rank of the request; requests of the
// highest rank too prefer those with a free slot. If there is none, it returns how long the
// request may wait, or chooses among all servers.
func (w *capacityWait) decide(route *routing.Request, list backends.List, preferUnlimited bool) (chosen *routing.Candidate, waitLeft time.Duration) {
	g := w.gateway
	if w.off {
		return g.decide(route, list, preferUnlimited), 0
	}
	usage := g.usage(w.req.service, list, route.Now)
	if w.usage = usage; usage.Slots <= 0 {
		return g.decide(route, list, preferUnlimited), 0
	}
	if !w.limited(usage) {
		return w.decidePlain(route, list, preferUnlimited), 0
	}
	question := w.question(route)
	if left := question.WaitLeft(); w.rank > 0 && left > 0 && w.ticket == nil && g.capacity.Len(w.req.service) > 0 && g.capacity.Ahead(w.entry()) && w.join() {
		return nil, left
	}
	if w.req.capacity.givenUp {
		return nil, 0
	}
	limit := question.Limit()
	if !usage.Full(limit) {
		if chosen = g.decide(w.limit(route, usage, limit, list), list, preferUnlimited); chosen != nil {
			return chosen, 0
		}
	}
	if chosen = g.decide(route, list, preferUnlimited); chosen == nil {
		return nil, 0
	}
	question.Load, question.Slots = usage.LoadOf(&chosen.Server, route.Now)
	// The chosen server may have got capacity since.
	question.Load = max(question.Load, admission.Room(limit, question.Slots))
	switch admission.Decide(question) {
	case admission.GiveUp:
		w.giveUp(usage, "not_in_time")
		return nil, 0
	case admission.Wait:
		if w.ticket != nil {
			w.ticket.Pass(w.sharesFailure(route, usage, limit, list))
		} else if !w.join() {
			break
		}
		return nil, question.WaitLeft()
	}
	if w.req.capacity.givenUp {
		return nil, 0
	}
	return chosen, 0
}

// decidePlain chooses for a request that never waits, if possible a server with a free slot.
func (w *capacityWait) decidePlain(route *routing.Request, list backends.List, preferUnlimited bool) *routing.Candidate {
	if !w.usage.Full(0) {
		if chosen := w.gateway.decide(w.limit(route, w.usage, 0, list), list, preferUnlimited); chosen != nil {
			return chosen
		}
	}
	return w.gateway.decide(route, list, preferUnlimited)
}

// limited reports whether the request is subject to admission: it is for a model server, or above
// the share of its account, which is drawn once for each request.
func (w *capacityWait) limited(usage admission.Usage) bool {
	state, g := &w.req.capacity, w.gateway
	if !state.drawn && g.Accounts != nil {
		state.drawn = true
		share := admission.ServedShare(usage.WithWaiting(g.capacity.Len(w.req.service), g.Accounts.OwnPart()).Taken)
		if excess := g.Accounts.Excess(w.req.accountName(), share); excess > 0 && g.random().Float64() < excess {
			state.excess = true
			g.Metrics.Excess(w.req.accountName())
		}
	}
	if state.excess {
		w.rank = w.baseRank() + 1
	}
	return state.excess || w.req.plan.model() != ""
}

func (w *capacityWait) baseRank() int { return w.req.index.Rank(w.req.route, w.req.service) }

// giveUp ends the run for lack of capacity.
func (w *capacityWait) giveUp(usage admission.Usage, cause string) {
	state := &w.req.capacity
	state.givenUp, state.refusedFor = true, cause
	if state.failover {
		return
	}
	if state.keptSince.IsZero() {
		state.retryAfter = w.gateway.retryAfter(w.req, usage)
	}
	outcome := "refused"
	if !state.keptSince.IsZero() || w.req.kept != nil {
		outcome = "weak_answer"
	}
	w.gateway.Metrics.Admitted(w.req.service, w.rank, outcome, w.waited)
}

// admitted counts a run that is sent.
func (w *capacityWait) admitted() {
	switch {
	case w.off || w.usage.Slots <= 0:
	case w.waited > 0:
		w.gateway.Metrics.Admitted(w.req.service, w.rank, "waited", w.waited)
	default:
		w.gateway.Metrics.Admitted(w.req.service, w.rank, "at_once", 0)
	}
}

// limit restricts the request to servers with capacity for a rank.
func (w *capacityWait) limit(route *routing.Request, usage admission.Usage, rank int, list backends.List) *routing.Request {
	limited := *route
	limited.Ineligible = knownFull(usage, list, rank)
	usage.Woken = w.ticket != nil || w.req.capacity.waited > 0
	limited.Admit = func(server *backends.Snapshot) string {
		if load, slots := usage.LoadOf(server, route.Now); load >= admission.Room(rank, slots) || w.gateway.recentlyRefused(server.Server.ID, route.Now) {
			return droppedNoCapacity
		}
		return route.Admit(server)
	}
	return &limited
}

// knownFull returns a function that reports whether the server of an index has no room for a request of
// the rank by its report, or nil while the mean over the service leaves room: the estimate of a load is
// between the two.
func knownFull(usage admission.Usage, list backends.List, rank int) func(i int) bool {
	room := admission.Room(rank, 1)
	if usage.Taken < room {
		return nil
	}
	return func(i int) bool { return list[i].ReportedPerSlot(usage.Alone) >= room }
}

// sharesFailure reports whether a request of the same group and rank that has not been sent to
// any server yet would not find capacity either.
func (w *capacityWait) sharesFailure(route *routing.Request, usage admission.Usage, limit int, list backends.List) bool {
	if len(route.Exclude) == 0 || usage.Full(limit) {
		return true
	}
	fresh := *route
	fresh.Exclude = nil
	return w.gateway.decide(w.limit(&fresh, usage, limit, list), list, false) == nil
}

func (w *capacityWait) question(route *routing.Request) *admission.Question {
	question := &admission.Question{
		Rank: w.rank, Elapsed: route.Now.Sub(w.req.started), Objective: w.req.route.Objective, Remaining: route.Remaining,
		Excess: w.req.capacity.excess && !w.req.mayHaveRun, Plain: w.req.plan.model() == "", Idle: w.usage.Idle(w.gateway.capacity.Len(w.req.service)),
	}
	question.Refused = len(w.req.tried) > 0 && (!w.req.mayHaveRun || w.req.weakDropped)
	if mean, ok := w.gateway.headerMeans.Load(w.req.timingKey(w.req.plan.model())); ok {
		question.Expected = mean.(*headerMean).expected()
	}
	if since := w.req.capacity.keptSince; !since.IsZero() {
		question.Stronger, question.Kept = true, route.Now.Sub(since)
	}
	return question
}

func (w *capacityWait) entry() *admission.Entry {
	return &admission.Entry{
		Service: w.req.service, Rank: w.rank, LateAt: w.req.started.Add(admission.LateAfter(w.req.route.Objective)), Excess: w.req.capacity.excess, Due: w.req.started.Add(w.req.route.Objective), Bytes: w.req.body.size,
		Group: fmt.Sprintf("%+v %t", w.stage, w.unconfirmed), Wake: w.wakeUp,
	}
}

// join adds the request to the queue. It reports false if the queue is at its bound: the request
// proceeds without waiting, or is given up if it is above the share of its account.
func (w *capacityWait) join() bool {
	w.wake = make(chan struct{}, 1)
	if w.ticket = w.gateway.capacity.Join(w.entry()); w.ticket == nil {
		w.off = true
		if w.req.capacity.excess && !w.req.mayHaveRun {
			w.giveUp(w.usage, "queue_full")
		}
		return false
	}
	// Capacity may have become free since the request looked for it.
	w.gateway.capacity.Notify(w.req.service)
	return true
}

func (w *capacityWait) wakeUp() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// sleep waits until the request may look for capacity again.
func (w *capacityWait) sleep(ctx context.Context, longest time.Duration) {
	began := time.Now()
	timer := time.NewTimer(longest)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-w.wake:
	}
	slept := time.Since(began)
	w.waited += slept
	w.req.capacity.waited += slept
}

// leave ends the wait, so that the next request may look for capacity.
func (w *capacityWait) leave() {
	if w.ticket != nil {
		w.ticket.Leave()
		w.ticket = nil
	}
}

// noCapacity returns the refusal of a request that was given up for lack of capacity.
func (g *Gateway) noCapacity(req *request) *refusal {
	refused := refuseNoCapacity
	refused.retryAfter = req.capacity.retryAfter
	g.Log.WithFields(logrus.Fields{
		"event": "no_capacity", "request_id": req.call.ID, "service": req.service, "account": req.accountName(), "cause": req.capacity.refusedFor,
		"excess": req.capacity.excess, "queued_ms": req.capacity.waited.Milliseconds(), "retry_after_ms": refused.retryAfter.Milliseconds(),
	}).Info("a request is refused for lack of capacity")
	return &refused
}

// notRun returns the refusal of a request that all servers which were asked refused. Under pressure
// that is for lack of capacity, and Retry-After is drawn around the time until there is some.
func (g *Gateway) notRun(req *request) *refusal {
	if !g.underPressure() {
		return &refuseNotRun
	}
	usage := g.usage(req.service, backends.List(g.Servers.Serving(req.service)), time.Now())
	if usage.Slots <= 0 {
		return &refuseNotRun
	}
	refused := refuseNotRun
	refused.retryAfter = g.retryAfter(req, usage)
	return &refused
}

// retryAfter draws the wait for a request that is refused for lack of capacity.
func (g *Gateway) retryAfter(req *request, usage admission.Usage) time.Duration {
	return usage.WithWaiting(g.capacity.Len(req.service), g.ownPart()).RetryAfter(g.random().Float64())
}
