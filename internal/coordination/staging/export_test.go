package staging

import "context"

// Tick runs one evaluation of the rollouts.
func Tick(ctx context.Context, d *Decider) { d.tick(ctx) }

// Locked reports whether the lock of the controller is held.
func (c *Controller) Locked() bool {
	if c.mu.TryLock() {
		c.mu.Unlock()
		return false
	}
	return true
}

// KnownSessions returns the number of sessions of which something is known.
func (c *Controller) KnownSessions() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.sessions.states)
}

// PhasesComputed returns how often the phases of the orders and services were computed.
func (c *Controller) PhasesComputed() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	computed := uint64(0)
	for _, s := range c.orders {
		computed += s.phases.computed + s.candidates.computed
	}
	for _, cached := range c.candidates {
		computed += cached.computed
	}
	return computed
}
