package staging

// Stage says which versions of a service a request may go to.
type Stage struct {
	// Only names the version that is meant; empty means any but Not.
	Only string
	// Not names a version that is not meant; empty for none.
	Not string
	// Barred names a version that must not be used; empty for none.
	Barred string
	// Trial is true where a version is a canary, so that another is as good.
	Trial bool
	// Final is true once a roll-out has ended.
	Final bool
	// subset names the servers of the canary version that get its requests.
	subset serverSubset
}

// Admits reports whether the version is within the stage.
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

// Widened returns the stage for the case that no server within it is left. A
// new version that is not yet agreed does not take over what the old served.
func (s Stage) Widened() Stage {
	if s.Only != "" || s.Trial {
		return Stage{Barred: s.Barred}
	}
	return s
}

// Stage returns the versions for requests of a session. A session that is
// active on the old version keeps it.
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
