package coldstart

import (
	"time"

	"medlarslip/internal/protocol/document"
)

const (
	// rampFactor multiplies the bound after as many good answers in a row as
	// the bound, and divides it after a slow answer.
	rampFactor = 2
	// warmFactor is the multiple of the configured limit at which a server
	// counts as warm.
	warmFactor = 16
	// slowFactor is the multiple of the mean latency of the first answers above
	// which an answer counts as slow.
	slowFactor = 4
)

// serverRun identifies one run of a backend server; started is 0 if unknown.
type serverRun struct {
	incarnation string
	started     uint16
}

// sameAs reports whether both may be the same run of the server.
func (r serverRun) sameAs(other serverRun) bool {
	return r.incarnation == other.incarnation && (r.started == 0 || other.started == 0 || r.started == other.started)
}

// coldServer is the state of a cold server at the holder of its lease.
type coldServer struct {
	run   serverRun
	limit document.ColdLimit
	// bound is the maximum number of calls in flight from the whole fleet.
	bound int
	// slots is the end of each slot that is not released, by slot number.
	slots map[uint64]time.Time
	// goodAnswers counts good answers since the last failure, and streak those
	// since the bound last changed.
	goodAnswers, streak int
	// initialLatency is the mean latency of the first answers.
	initialLatency time.Duration
}

// resetOnChange resets the ramp-up if the server has restarted or its limit has
// changed. Slots stay in use.
func (c *coldServer) resetOnChange(run serverRun, limit *document.ColdLimit) {
	if c.bound > 0 && c.run.sameAs(run) && c.limit == *limit {
		if run.started != 0 {
			c.run = run
		}
		return
	}
	c.run, c.limit, c.bound = run, *limit, limit.MaxInFlight
	c.goodAnswers, c.streak, c.initialLatency = 0, 0, 0
}

// inUse returns the number of slots whose calls may still run, and removes the
// slots that have ended.
func (c *coldServer) inUse(now time.Time) int {
	for number, end := range c.slots {
		if now.After(end) {
			delete(c.slots, number)
		}
	}
	return len(c.slots)
}

// observe records the outcome of a call and reports whether the server counts as
// warm now. The bound grows with good answers, is halved by a slow answer, and
// returns to the configured limit on a failure; it never falls below that limit.
func (c *coldServer) observe(took time.Duration, good bool) bool {
	switch {
	case !good:
		c.bound, c.goodAnswers, c.streak = c.limit.MaxInFlight, 0, 0
		return false
	case c.initialLatency > 0 && took > slowFactor*c.initialLatency && c.goodAnswers >= c.limit.WarmAfterRequests:
		c.bound, c.streak = max(c.bound/rampFactor, c.limit.MaxInFlight), 0
		return false
	}
	c.goodAnswers++
	c.streak++
	if c.goodAnswers <= max(c.limit.WarmAfterRequests, 1) {
		c.initialLatency += (took - c.initialLatency) / time.Duration(c.goodAnswers)
	}
	if c.goodAnswers >= c.limit.WarmAfterRequests && c.streak >= c.bound {
		c.bound *= rampFactor
		c.streak = 0
	}
	return c.bound >= warmFactor*c.limit.MaxInFlight
}
