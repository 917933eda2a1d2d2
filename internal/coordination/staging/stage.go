package staging

// Stage defines which versions of a service may receive a request.
type Stage struct {
	// Only names the one version to use; empty means any version but Not.
	Only string
	// Not names a version to avoid; empty for none.
	Not string
	// Barred names a version that must not be used, even after Widened; empty for
	// none.
	Barred string
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
	case s.Barred != "" && version == s.Barred:
		return false
	case s.Only != "":
		return version == s.Only
	default:
		return s.Not == "" || version != s.Not
	}
}

// Widened returns the stage to use when no server within it is available.
// Requests that belong on the old version don't move to a new version that is
// not agreed yet.
func (s Stage) Widened() Stage {
	if s.Only != "" || s.Trial {
		return Stage{Barred: s.Barred}
	}
	return s
}

// Stage returns the versions allowed for requests of a session. A session that
// is active on the old version keeps it.
func (c *Controller) Stage(service string, session uint64) Stage {
	c.mu.Lock()
	defer c.mu.Unlock()
	status, agreed := c.statuses[service]
	order, ordered := c.orders[service]
	if agreed && status.State != Running && (!ordered || order.order.Target == status.Target) {
		return endedStage(status)
	}
	barred := ""
	if agreed && status.State == RolledBack {
		barred = status.Target
	}
	switch {
	case !ordered:
		c.recordCandidate(service, session)
		unordered := c.versionWithoutOrder(service)
		return Stage{Not: unordered, Barred: barred, Trial: unordered != ""}
	case order.worseReason != "" || !c.moves(order, service, session):
		return Stage{Not: order.order.Target, Barred: barred}
	default:
		return Stage{Only: order.order.Target, Barred: barred, Trial: true, subset: c.subsetOf(order)}
	}
}

func endedStage(status Status) Stage {
	if status.State == RolledBack {
		return Stage{Barred: status.Target, Final: true}
	}
	return Stage{Only: status.Target, Final: true}
}
