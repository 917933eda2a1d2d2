package coldstart

import (
	"time"

	"medlarslip/internal/protocol/document"
)

const (
	// rampFactor is how much the bound grows after a row of good answers as
	// long as the bound.
	rampFactor = 2
	// warmFactor is the multiple of the declared limit at which a server
	// counts as warm.
	warmFactor = 16
	// slowFactor is the multiple of the first answers' mean time above which
	// an answer counts as trouble.
	slowFactor = 4
)

// serverRun names one run of a backend server.
type serverRun struct {
	incarnation string
	started     uint16
}

// sameAs reports whether both may be the same run.
func (r serverRun) sameAs(other serverRun) bool {
	return r.incarnation == other.incarnation && (r.started == 0 || other.started == 0 || r.started == other.started)
}

// coldServer is what the holder knows of a cold server.
type coldServer struct {
	run   serverRun
	limit document.ColdLimit
	// bound is how many calls may be in flight from the whole fleet.
	bound int
	// slots holds the end of each slot that is not returned.
	slots map[uint64]time.Time
	// goodAnswers counts good answers, and streak those since the bound changed.
	goodAnswers, streak int
	// initialLatency is the mean time of the first answers.
	initialLatency time.Duration
}

// resetOnChange begins anew where the server has started again or its limit changed.
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

// inUse counts the slots whose calls may still run.
func (c *coldServer) inUse(now time.Time) int {
	for number, end := range c.slots {
		if now.After(end) {
			delete(c.slots, number)
		}
	}
	return len(c.slots)
}

// observe takes the outcome of a call and returns whether the server has shown
// that it is warm. The bound grows while answers come well, and falls back to
// the declared limit on a failure and by half on a slow answer.
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
