package backends

import "time"

// CallResult says what the end of a call tells about the backend server.
type CallResult int

const (
	// CallGood means that the server gave a whole answer.
	CallGood CallResult = iota
	// CallNeutral means that the end tells nothing of the server's health:
	// it found fault with the request, or the caller went away.
	CallNeutral
	// CallBusy means that the server was full.
	CallBusy
	// CallFailed means that the server failed the call.
	CallFailed
	// CallSlow means that the answer was good and took far longer than usual.
	CallSlow
	// CallUnreachable means that no connection came about, or that another
	// server has the address.
	CallUnreachable
)

// UnreachableFailures is the number of failures in a row that a server counts
// which can't be reached: nothing is gained by trying it again at once.
const UnreachableFailures = 5

// Settle counts one call less in flight and notes how it ended.
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

// Hash returns the hash of the server's ID, by which requests that share a
// prompt prefix meet the same servers.
func (b *Backend) Hash() uint64 { return b.hash }

// List is the servers of one target, as a routing decision views them.
type List []*Backend

// Len returns the number of servers.
func (l List) Len() int { return len(l) }

// Hash returns the hash of one server's ID.
func (l List) Hash(i int) uint64 { return l[i].Hash() }

// Snapshot returns a copy of the state of one server.
func (l List) Snapshot(i int) Snapshot { return l[i].Snapshot() }
