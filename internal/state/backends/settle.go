package backends

import "time"

// CallResult classifies the end of a call by what it says about the health of
// the backend server.
type CallResult int

const (
	// CallGood means that the server returned a complete answer.
	CallGood CallResult = iota
	// CallNeutral means that the end says nothing about the server's health:
	// the server rejected the request as invalid, or the caller disconnected.
	CallNeutral
	// CallBusy means that the server refused the call without running it, such as
	// for lack of capacity.
	CallBusy
	// CallFailed means that the server caused the failure of the call.
	CallFailed
	// CallSlow means that the answer was complete but took far longer than usual.
	CallSlow
	// CallUnreachable means that no connection was established, or that another
	// server uses the address.
	CallUnreachable
)

// UnreachableFailures is the least number of consecutive failures recorded for a
// server that can't be reached, since an immediate retry is of no use.
const UnreachableFailures = 5

// latencyWeight is the weight of a new value in the exponentially weighted mean
// of the latency.
const latencyWeight = 0.2

// Settle counts one call less in flight and records how it ended, and the latency of a
// successful call.
func (b *Backend) Settle(now time.Time, took time.Duration, result CallResult) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addInFlight(-1)
	switch result {
	case CallGood, CallSlow:
		b.succeed(took)
		b.recent.add(now, result == CallSlow)
	case CallFailed, CallUnreachable:
		b.fail(now, now.Add(-took), result == CallUnreachable)
		b.recent.add(now, true)
	}
}

// succeed records a successful call. The caller holds the lock.
func (b *Backend) succeed(took time.Duration) {
	b.failures, b.failedAt = 0, time.Time{}
	b.answered++
	if b.latency == 0 {
		b.latency = took
		return
	}
	b.latency += time.Duration(latencyWeight * float64(took-b.latency))
}

// fail records the failure of a call that began at the given time. The caller holds the lock.
func (b *Backend) fail(now, began time.Time, unreachable bool) {
	// Calls in progress at the same time report the same fault, and each counted failure beyond
	// UnreachableFailures doubles the time to the next probe.
	if b.failures >= UnreachableFailures && !began.After(b.countedAt) {
		return
	}
	b.failures++
	if unreachable {
		b.failures = max(b.failures, UnreachableFailures)
	}
	b.failedAt, b.countedAt = now, now
}

// AllowProbe makes a probe of a server that can't be reached due at once. Calls that began before
// do not delay the next one, however they end.
func (b *Backend) AllowProbe(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures >= UnreachableFailures {
		b.failures, b.failedAt, b.countedAt = UnreachableFailures, time.Time{}, now
	}
}

// Hash returns the hash of the server's ID, by which requests with a common
// prompt prefix are routed to the same servers.
func (b *Backend) Hash() uint64 { return b.hash }

// List holds the servers of one target, as input of a routing decision.
type List []*Backend

// Len returns the number of servers.
func (l List) Len() int { return len(l) }

// Hash returns the hash of one server's ID.
func (l List) Hash(i int) uint64 { return l[i].Hash() }

// Snapshot returns a copy of the state of one server.
func (l List) Snapshot(i int) Snapshot { return l[i].Snapshot() }
