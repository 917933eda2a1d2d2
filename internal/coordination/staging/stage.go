package staging

import "slices"

// Stage defines which versions of a service may receive a request.
type Stage struct {
	// Only names the one version to use; empty means any version but Not and Held.
	Only string
	// Not names a version to avoid; empty for none.
	Not string
	// Held names versions to avoid while there is another: their order may still arrive, or
	// a rollout has replaced them.
	Held []string
	// Barred names versions that must not be used, even after Widened; nil for none.
	Barred []string
	// Trial is true if the choice of version belongs to a trial, or to one that is
	// about to start, so that any other version may serve the request instead.
	Trial bool
	// Final is true once a rollout has ended.
	Final bool
	// subset selects the servers of the canary version that receive requests.
	subset serverSubset
}

// Admits reports whether the stage allows the version.
func (s Stage) Admits(version string) bool {
	switch {
	case slices.Contains(s.Barred, version):
		return false
	case s.Only != "":
		return version == s.Only
	default:
		return (s.Not == "" || version != s.Not) && !slices.Contains(s.Held, version)
	}
}

// Widened returns the stage to use when no server within it is available.
// Requests that belong on the old version don't move to a new version that is
// not agreed yet.
func (s Stage) Widened() Stage {
	widened := Stage{Barred: s.Barred}
	if s.Only == "" && !s.Trial {
		widened.Not = s.Not
	}
	return widened
}

// Stage returns the versions allowed for requests of a session. A session that
// is active on the old version keeps it.
func (c *Controller) Stage(service string, session uint64) Stage {
	defer c.announceUrgent()
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.history(service)
	if order, ordered := c.orders[service]; ordered && c.isOpen(order) {
		return c.openStage(order, h, session)
	}
	if target := c.movedElsewhere(h, service, session); target != "" {
		c.recordOwn(ActiveSession{Service: service, Session: session}, target)
		return Stage{Only: target, Barred: h.barred, Trial: true}
	}
	c.recordCandidate(service, session)
	status := c.statuses[service]
	if status.State == Succeeded {
		return Stage{Only: status.Target, Barred: h.barred, Final: true}
	}
	held := h.held("", c.now())
	return Stage{Held: held, Barred: h.barred, Trial: len(held) > 0, Final: status.State == RolledBack}
}

// openStage returns the versions allowed for requests of a session while an order is open.
func (c *Controller) openStage(s *orderState, h *versionHistory, session uint64) Stage {
	stage := Stage{Held: h.held(s.order.Target, c.now()), Barred: h.barred}
	switch {
	case c.isReturn(s):
		c.recordCandidate(s.order.Service, session)
	case s.worseReason != "" || !c.moves(s, s.order.Service, session):
		stage.Not = s.order.Target
	default:
		stage.Only, stage.Trial, stage.subset = s.order.Target, true, c.subsetOf(s)
	}
	return stage
}
