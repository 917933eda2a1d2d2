package coldstart

import (
	"time"

	"github.com/ansel1/merry/v2"

	"medlarslip/internal/protocol/document"
	"medlarslip/internal/protocol/platform"
	"medlarslip/internal/protocol/records"
)

// Kinds of error of a request for a slot.
var (
	// ErrNoLease means that the instance that was asked can't grant slots of
	// the server.
	ErrNoLease = merry.Sentinel("no valid lease on the cold backend server; ask its holder, or use warm servers")
	// ErrBoundReached means that the cold server bears no more for now.
	ErrBoundReached = merry.Sentinel("cold backend server bears no more for now; use another, or ask again shortly")
	// ErrTooLong means that the call may outlast a slot.
	ErrTooLong = merry.Sentinel("call may last longer than a slot on a cold backend server; use warm servers, or raise drain.longest_request_ms")
	// ErrStaleSlot means that the slot came too late or from a holder that
	// has been replaced.
	ErrStaleSlot = merry.Sentinel("slot on the cold backend server is stale; ask again")
)

// Slot allows one call to a cold server.
type Slot struct {
	Server string `json:"server"`
	// Fence is the offset of the lease under which the slot was granted.
	Fence int64 `json:"fence"`
	// Number is unique to the slot at its holder.
	Number uint64 `json:"number"`
}

// grantor decides on leases and slots for one instance. It is pure: its clock
// is given with each call. It is not safe for concurrent use.
type grantor struct {
	self     holderID
	terms    terms
	ledger   *ledger
	sequence uint64
	// sentAt holds when each own record was sent, by sequence. A lease is
	// counted from before its append.
	sentAt map[uint64]time.Time
	number uint64
	cold   map[string]*coldServer
	// fences holds the highest fencing number met for each server.
	fences map[string]int64
	// closedBy holds the sequence of the own record that gave up the lease on
	// a server; only a later lease allows grants.
	closedBy map[string]uint64
}

func newGrantor(self holderID, longestCall time.Duration) *grantor {
	t := newTerms(longestCall)
	return &grantor{
		self: self, terms: t, ledger: newLedger(t), sentAt: map[uint64]time.Time{},
		cold: map[string]*coldServer{}, fences: map[string]int64{}, closedBy: map[string]uint64{},
	}
}

// apply takes over a page of the leases stream.
func (g *grantor) apply(page *platform.ReadResponse, now time.Time) {
	g.ledger.apply(page, now)
	for server, current := range g.ledger.current {
		g.fences[server] = max(g.fences[server], current.offset)
	}
}

// holder returns who holds the lease in force on a server.
func (g *grantor) holder(server string) (holderID, bool) {
	current, ok := g.ledger.current[server]
	return current.holder, ok && !current.released
}

// claim returns the record by which this instance takes or renews the lease.
func (g *grantor) claim(server string, now time.Time) records.Lease {
	return g.record(server, now, false)
}

func (g *grantor) record(server string, now time.Time, released bool) records.Lease {
	g.sequence++
	g.sentAt[g.sequence] = now
	record := records.Lease{
		Writer:   records.Writer{Instance: g.self.instance, Incarnation: g.self.incarnation, Sequence: g.sequence},
		Server:   server,
		Previous: records.NoLease,
		ReadFrom: g.ledger.readFrom,
		Released: released,
	}
	current, ok := g.ledger.current[server]
	switch {
	case ok && current.uncertain:
		record.ReadFrom = g.ledger.next
	case ok:
		record.Previous = current.offset
	}
	return record
}

// release returns the record that gives a lease up, if no slot is in use.
func (g *grantor) release(server string, now time.Time) (records.Lease, bool) {
	current, ok := g.ledger.current[server]
	state := g.cold[server]
	held := ok && current.holder == g.self && !current.released && !current.uncertain && !now.Before(current.notBefore)
	if !held || state != nil && state.inUse(now) > 0 {
		return records.Lease{}, false
	}
	record := g.record(server, now, true)
	g.closedBy[server] = record.Writer.Sequence
	return record, true
}

// renewalDue reports whether this instance holds the lease and should renew
// it.
func (g *grantor) renewalDue(server string, now time.Time) bool {
	current, ok := g.ledger.current[server]
	if !ok || current.holder != g.self || current.released {
		return false
	}
	return now.Sub(g.sentAt[current.sequence]) >= renewInterval
}

// lapsed reports whether no lease can be valid on a server any more.
func (g *grantor) lapsed(server string, now time.Time) bool {
	current, ok := g.ledger.current[server]
	return !ok || current.released || now.Sub(current.readAt) > g.terms.lease
}

// leaseValid reports whether a slot granted now ends while the own lease is
// still valid.
func (g *grantor) leaseValid(server string, now time.Time) bool {
	current, ok := g.ledger.current[server]
	if !ok || current.holder != g.self || current.uncertain || current.released || now.Before(current.notBefore) {
		return false
	}
	sentAt, known := g.sentAt[current.sequence]
	return known && !now.Add(g.terms.hold).After(sentAt.Add(g.terms.lease))
}

// grant returns a slot on a cold server. The error is of the kind ErrNoLease
// or ErrBoundReached.
func (g *grantor) grant(server string, run serverRun, limit *document.ColdLimit, now time.Time) (Slot, error) {
	state := g.state(server, run, limit)
	if !g.leaseValid(server, now) || g.ledger.current[server].sequence < g.closedBy[server] {
		return Slot{}, merry.Prepend(ErrNoLease, server)
	}
	if state.inUse(now) >= state.bound {
		return Slot{}, merry.Prepend(ErrBoundReached, server)
	}
	g.number++
	state.slots[g.number] = now.Add(g.terms.hold)
	return Slot{Server: server, Fence: g.ledger.current[server].offset, Number: g.number}, nil
}

func (g *grantor) state(server string, run serverRun, limit *document.ColdLimit) *coldServer {
	state := g.cold[server]
	if state == nil {
		state = &coldServer{slots: map[uint64]time.Time{}}
		g.cold[server] = state
	}
	state.follow(run, limit)
	return state
}

// returned takes back a slot with the outcome of its call. It reports whether
// the server has now shown that it is warm.
func (g *grantor) returned(request *ReleaseRequest) bool {
	state := g.cold[request.Slot.Server]
	if state == nil {
		return false
	}
	if _, ok := state.slots[request.Slot.Number]; !ok {
		return false
	}
	delete(state.slots, request.Slot.Number)
	if request.Unused {
		return false
	}
	return state.observe(time.Duration(request.TookMicros)*time.Microsecond, request.Good)
}

// accept checks a slot just before its use. The error is of the kind
// ErrStaleSlot.
func (g *grantor) accept(slot Slot, askedAt, now time.Time) error {
	if now.Sub(askedAt) > useWithin {
		return merry.Prepend(ErrStaleSlot, "answer came late")
	}
	if slot.Fence < g.fences[slot.Server] {
		return merry.Prepend(ErrStaleSlot, "holder has been replaced")
	}
	g.fences[slot.Server] = slot.Fence
	return nil
}

// tidy forgets what is no longer needed.
func (g *grantor) tidy(now time.Time) {
	for sequence, sent := range g.sentAt {
		if now.Sub(sent) > g.terms.lease+takeoverMargin {
			delete(g.sentAt, sequence)
		}
	}
	for server := range g.closedBy {
		if g.lapsed(server, now) {
			delete(g.closedBy, server)
		}
	}
	for server, state := range g.cold {
		if state.inUse(now) == 0 && g.lapsed(server, now) {
			delete(g.cold, server)
		}
	}
}
