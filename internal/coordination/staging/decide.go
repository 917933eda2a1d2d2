package staging

import (
	"slices"
	"time"

	"medlarslip/internal/coordination/rollout"
)

// Export returns the counts of this instance for its open rollouts, to be sent
// to its peers. Where the settings state the longest pause of a session, the entry of a
// target is sent also without counts, since its age lets all instances change the share of the
// trial at the same time.
func (c *Controller) Export() []rollout.ArmCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	exported := make([]rollout.ArmCounts, 0, len(c.counts))
	for service, order := range c.orders {
		arm := rollout.Arm{Rollout: service, VersionID: order.order.Target}
		if _, counted := c.counts[arm]; !counted && c.isOpen(order) && c.reportsTimes() {
			entry := rollout.ArmCounts{Arm: arm}
			c.setAge(&entry, order)
			exported = append(exported, entry)
		}
	}
	for arm, counts := range c.counts {
		if order, ordered := c.orders[arm.Rollout]; ordered {
			entry := rollout.ArmCounts{Arm: arm, Counts: counts}
			if arm.VersionID == order.order.Target {
				c.setAge(&entry, order)
			}
			exported = append(exported, entry)
		}
	}
	return exported
}

// setAge states the age of an order. The time to its deadline distinguishes it from
// another order of the same target.
func (c *Controller) setAge(entry *rollout.ArmCounts, order *orderState) {
	entry.AgeMS = c.now().Sub(order.seenAt).Milliseconds()
	if c.reportsTimes() {
		entry.WithinMS, entry.Servers = order.order.Within.Milliseconds(), statedServers(order)
	}
}

// Merge joins the counts of a peer into those already received. A peer sends
// its counts in full each time. source identifies one run of the peer.
func (c *Controller) Merge(source string, received []rollout.ArmCounts) {
	if len(received) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := c.peers[source]
	if counts == nil {
		counts = map[rollout.Arm]rollout.Counts{}
		c.peers[source] = counts
	}
	for _, entry := range received {
		joined := counts[entry.Arm]
		joined.Join(entry.Counts)
		counts[entry.Arm] = joined
		c.mergeAge(entry)
	}
}

// mergeAge moves the start of an order back if a peer has had the order for
// longer, and joins the number of servers, so that an instance that has just started is in the
// same phase of the trial. The age that a peer states of a version that was ordered before may be that of
// the earlier order, so it is ignored. The number of servers is joined nevertheless: instances that
// see different numbers would move sessions back. The previous build does not state to which order
// an age belongs.
func (c *Controller) mergeAge(entry rollout.ArmCounts) {
	order, ordered := c.orders[entry.Arm.Rollout]
	if !ordered || entry.Arm.VersionID != order.order.Target {
		return
	}
	if entry.WithinMS != 0 && entry.WithinMS != order.order.Within.Milliseconds() {
		return
	}
	if seenAt := c.now().Add(-time.Duration(entry.AgeMS) * time.Millisecond); order.before == nil && seenAt.Before(order.seenAt) {
		order.seenAt = seenAt
	}
	if entry.WithinMS != 0 && entry.Servers == 0 {
		order.mixedBuilds = true
	}
	c.learnServers(order, entry.Servers)
}

// Decision is a status to be agreed, with its reason.
type Decision struct {
	Status Status
	Reason string
	// Due is when the decision first became due.
	Due time.Time
	// Old and New are the counts that the decision is based on.
	Old, New rollout.Counts
}

// Decide returns the statuses to be agreed now. serving returns the number of
// servers of a version that accept requests; it is called without the lock of the
// controller.
func (c *Controller) Decide(serving func(service, version string) int) []Decision {
	targets := map[target]int{}
	for _, t := range c.openTargets() {
		targets[t] = serving(t.service, t.version)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var due []Decision
	for service, s := range c.orders {
		if !c.isOpen(s) {
			if c.history(service).isUnpublished(c.statuses[service]) {
				due = append(due, c.newDecision(s, c.statuses[service].State, "history_changed", rollout.Counts{}, rollout.Counts{}))
			}
			continue
		}
		status := c.statuses[service]
		announced := status.Target == s.order.Target && !c.history(service).isUnpublished(status)
		if decision, ok := c.decide(s, announced, targets[target{service, s.order.Target}]); ok {
			due = append(due, decision)
		}
	}
	return due
}

// target is a version of a service that an order asks for.
type target struct{ service, version string }

// openTargets returns the targets of the orders that have not ended.
func (c *Controller) openTargets() []target {
	c.mu.Lock()
	defer c.mu.Unlock()
	targets := make([]target, 0, len(c.orders))
	for service, s := range c.orders {
		if c.isOpen(s) {
			targets = append(targets, target{service, s.order.Target})
		}
	}
	return targets
}

func (c *Controller) decide(s *orderState, announced bool, serving int) (Decision, bool) {
	oldArm, newArm := c.pool(s.order.Service, s.order.Target)
	if s.before != nil {
		newArm = newArm.Since(*s.before)
	}
	if c.isReturn(s) {
		return c.decideReturn(s, announced, serving, oldArm, newArm)
	}
	p := c.phasesOf(s)
	if s.worseReason == "" {
		s.worseReason = s.evidence.regressionCause(p, oldArm, newArm, c.now())
	}
	if c.underLoad(s) {
		s.evidence.startLoad(p.lateFrom, oldArm, newArm, c.now())
	}
	due := !c.now().Before(s.promoteAt()) && s.evidence.notWorseUnderLoad(oldArm, newArm) && serving > 0
	late := !c.now().Before(s.giveUpAt())
	cause := ""
	if due || late {
		cause = s.evidence.suspicionCause(p, oldArm, newArm, c.now())
	}
	suspected := cause != ""
	if due && suspected && s.worseReason == "" {
		c.holdBack(s, cause, oldArm, newArm)
	}
	switch {
	case s.worseReason != "":
		return c.newDecision(s, RolledBack, s.worseReason, oldArm, newArm), true
	case suspected && late:
		return c.newDecision(s, RolledBack, reasonSuspected, oldArm, newArm), true
	case due && !suspected:
		return c.newDecision(s, Succeeded, "not_worse", oldArm, newArm), true
	case !announced:
		return c.newDecision(s, Running, "ordered", oldArm, newArm), true
	}
	return Decision{}, false
}

// decideReturn decides about an order for a version that is in use.
func (c *Controller) decideReturn(s *orderState, announced bool, serving int, oldArm, newArm rollout.Counts) (Decision, bool) {
	switch {
	case !c.now().Before(s.promoteAt()) && serving > 0:
		return c.newDecision(s, Succeeded, "in_use", oldArm, newArm), true
	case !announced:
		return c.newDecision(s, Running, "ordered", oldArm, newArm), true
	}
	return Decision{}, false
}

// newDecision returns a decision, due since the same state was first decided.
func (c *Controller) newDecision(s *orderState, state State, reason string, oldArm, newArm rollout.Counts) Decision {
	if s.due != state {
		s.due, s.dueAt = state, c.now()
	}
	status := Status{Service: s.order.Service, Target: s.order.Target, State: state}
	return Decision{Status: status, Reason: reason, Due: s.dueAt, Old: oldArm, New: newArm}
}

// pool sums the counts of all instances, separately for the target and for the
// versions that it replaces. Rejected versions are neither.
func (c *Controller) pool(service, target string) (oldArm, newArm rollout.Counts) {
	rejected := c.history(service).rejected
	add := func(counts map[rollout.Arm]rollout.Counts) {
		for arm, n := range counts {
			switch {
			case arm.Rollout != service:
			case arm.VersionID == target:
				newArm.Add(n)
			case !slices.Contains(rejected, arm.VersionID):
				oldArm.Add(n)
			}
		}
	}
	add(c.counts)
	for _, counts := range c.peers {
		add(counts)
	}
	return oldArm, newArm
}
