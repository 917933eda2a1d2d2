// Package admission decides when a request may be sent to a backend server while the
// servers are short of capacity, and holds the requests that wait for capacity. It
// accesses no network; the clock is passed in.
package admission

import "time"

// Action is what happens to a request.
type Action int

const (
	// Go sends the request now.
	Go Action = iota
	// Wait lets the request wait for capacity.
	Wait
	// GiveUp ends the run without sending it: a weak answer is delivered, and a request
	// without one is refused.
	GiveUp
)

const (
	// rankStep is the share of a server's slots that each rank below the highest leaves
	// free for higher ones.
	rankStep = 0.125
	// minRoom is the smallest share of its slots up to which a server is filled by any
	// rank.
	minRoom = 0.25
	// firstWaitShare is the share of its objective for which a request waits before its
	// first run. The rest is for the run.
	firstWaitShare = 0.5
	// longWaitShare bounds, as a share of the objective since the request arrived, until
	// when a run of a stronger model, or of a request above the share of its account, waits for
	// a model server. They are not sent to a full server.
	longWaitShare = 0.75
	// expectedFactor is the multiple of the expected time of a run that a wait leaves for it,
	// since a run under load takes longer than the mean.
	expectedFactor = 2
	// MaxKept bounds how long a weak answer is kept unread. Servers abort a response that
	// stays unread for seconds, and the answer occupies a slot until it is read.
	MaxKept = time.Second
)

// Question describes a run of a request for which a server is sought.
type Question struct {
	// Rank is the rank of the request below the highest of its service, which is 0.
	Rank int
	// Load is the number of requests at the best server, and Slots the number that it
	// runs concurrently; 0 if unknown.
	Load, Slots float64
	// Elapsed is the time since the request arrived, and Objective its latency objective; 0
	// if there is none.
	Elapsed, Objective time.Duration
	// Remaining is the time until the deadline; 0 if there is none.
	Remaining time.Duration
	// Expected is the expected time to the start of the answer; 0 if unknown.
	Expected time.Duration
	// Stronger is true for a run of a stronger model, and Kept is how long the weak answer
	// has been kept.
	Stronger bool
	Kept     time.Duration
	// Excess is true for a request above the share of its account that no server can have
	// run.
	Excess bool
	// Refused is true if a full server has refused the run: then a request of the highest rank waits
	// too, since the queues of other servers are likely to be full.
	Refused bool
	// Plain is true for a service without models, whose requests do not wait for longer than
	// half of their objective.
	Plain bool
	// Idle is true if the service has so much free capacity that nothing is refused.
	Idle bool
}

// Room returns the load below which a server with the given slots takes a request of the
// given rank.
func Room(rank int, slots float64) float64 {
	return slots * max(1-rankStep*float64(rank), minRoom)
}

// Decide returns what happens to the run.
func Decide(q *Question) Action {
	if q.Slots <= 0 || q.Load < Room(q.Limit(), q.Slots) {
		return Go
	}
	full := q.Load >= q.Slots
	switch {
	case full && q.Remaining > 0 && q.Remaining < q.Expected && !q.Idle:
		return GiveUp
	case q.Rank <= 0 && !q.Refused && !q.strongerLate():
		return Go
	case q.WaitLeft() > 0:
		return Wait
	case full && (q.Stronger || q.Excess && !q.Idle):
		return GiveUp
	default:
		return Go
	}
}

// strongerLate reports whether a run of a stronger model is expected to miss the objective in the queue of
// the server, by the mean time of such runs for each request per slot. The weak answer meets it.
func (q *Question) strongerLate() bool {
	expected := time.Duration(float64(q.Expected) * q.Load / q.Slots)
	return q.Stronger && q.Objective > 0 && q.Elapsed+expected > q.Objective
}

// Limit returns the rank whose room the run may fill: its own for half of the objective, then all
// slots, since capacity that is left free for higher ranks would otherwise be lost to requests that
// are not sent to a full server.
func (q *Question) Limit() int {
	if q.Elapsed >= LateAfter(q.Objective) {
		return 0
	}
	return q.Rank
}

// LateAfter returns the time after which a request may fill all slots.
func LateAfter(objective time.Duration) time.Duration {
	return time.Duration(firstWaitShare * float64(objective))
}

// WaitLeft returns how much longer the run may wait for capacity; 0 or less if it may not.
func (q *Question) WaitLeft() time.Duration {
	until := LateAfter(q.Objective)
	if q.Expected > 0 && (q.Stronger || q.Excess && !q.Plain) {
		inTime := min(time.Duration(longWaitShare*float64(q.Objective)), q.Objective-expectedFactor*q.Expected)
		if until = max(until, inTime); q.Stronger {
			// The weak answer is in time.
			until = inTime
		}
	}
	left := until - q.Elapsed
	if q.Stronger {
		left = min(left, MaxKept-q.Kept)
	}
	if q.Remaining > 0 {
		left = min(left, q.Remaining-expectedFactor*q.Expected)
	}
	return left
}
