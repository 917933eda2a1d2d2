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

// Settle counts one call less in flight and records how it ended.
func (b *Backend) Settle(now time.Time, took time.Duration, result CallResult) {
	good := result == CallGood || result == CallSlow
	bad := result == CallFailed || result == CallUnreachable
	if good || bad {
		b.End(took, good)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if good || bad {
		b.recent.add(now, result != CallGood)
	}
	switch result {
	case CallNeutral, CallBusy:
		b.inFlight--
	case CallUnreachable:
		b.failures = max(b.failures, UnreachableFailures)
		b.failedAt = now
	case CallFailed:
		b.failedAt = now
	case CallGood, CallSlow:
		b.failedAt = time.Time{}
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
