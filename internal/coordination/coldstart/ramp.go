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
	// answered counts good answers, and row those since the bound changed.
	answered, row int
	// pace is the mean time of the first answers.
	pace time.Duration
}

// follow begins anew where the server has started again or its limit changed.
func (c *coldServer) follow(run serverRun, limit *document.ColdLimit) {
	if c.bound > 0 && c.run.sameAs(run) && c.limit == *limit {
		if run.started != 0 {
			c.run = run
		}
		return
	}
	c.run, c.limit, c.bound = run, *limit, limit.MaxInFlight
	c.answered, c.row, c.pace = 0, 0, 0
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
		c.bound, c.answered, c.row = c.limit.MaxInFlight, 0, 0
		return false
	case c.pace > 0 && took > slowFactor*c.pace && c.answered >= c.limit.WarmAfterRequests:
		c.bound, c.row = max(c.bound/rampFactor, c.limit.MaxInFlight), 0
		return false
	}
	c.answered++
	c.row++
	if c.answered <= max(c.limit.WarmAfterRequests, 1) {
		c.pace += (took - c.pace) / time.Duration(c.answered)
	}
	if c.answered >= c.limit.WarmAfterRequests && c.row >= c.bound {
		c.bound *= rampFactor
		c.row = 0
	}
	return c.bound >= warmFactor*c.limit.MaxInFlight
}
