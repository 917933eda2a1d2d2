package staging

import (
	"time"

	"medlarslip/internal/coordination/rollout"
)

// reasonSuspected is the reason for rolling a version back that is still suspected shortly
// before its deadline.
const reasonSuspected = "suspected"

// holdBack records that a version would be promoted if it were not suspected, with the measure by
// which it is. The record is only for the log: whether a version is suspected follows from the counts each time.
func (c *Controller) holdBack(s *orderState, cause string, oldArm, newArm rollout.Counts) {
	if s.held == nil {
		status := Status{Service: s.order.Service, Target: s.order.Target, State: Running}
		s.held = &Decision{Status: status, Reason: cause, Due: c.now(), Old: oldArm, New: newArm}
	}
}

// takeHeldBack returns the versions that have been held back for at least a time, each once. Those
// whose order has ended are left out: another instance has decided about them.
func (c *Controller) takeHeldBack(delay time.Duration) []Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	var held []Decision
	for _, s := range c.orders {
		if s.held != nil && !s.heldTaken && c.isOpen(s) && c.now().Sub(s.held.Due) >= delay {
			s.heldTaken = true
			c.heldBack++
			held = append(held, *s.held)
		}
	}
	return held
}

// HeldBack returns the number of versions that this instance, as the one that decides, has not
// promoted when they were due, since they were suspected.
func (c *Controller) HeldBack() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.heldBack
}
