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
	self      holderID
	durations durations
	leases    *leaseTable
	sequence  uint64
	// sentAt holds when each own record was sent, by sequence. A lease is
	// counted from before its append.
	sentAt      map[uint64]time.Time
	slotNumber  uint64
	coldServers map[string]*coldServer
	// fences holds the highest fencing number met for each server.
	fences map[string]int64
	// releasedBy holds the sequence of the own record that gave up the lease on
	// a server; only a later lease allows grants.
	releasedBy map[string]uint64
}

func newGrantor(self holderID, longestCall time.Duration) *grantor {
	t := newDurations(longestCall)
	return &grantor{
		self: self, durations: t, leases: newLeaseTable(t), sentAt: map[uint64]time.Time{},
		coldServers: map[string]*coldServer{}, fences: map[string]int64{}, releasedBy: map[string]uint64{},
	}
}

// apply takes over a page of the leases stream.
func (g *grantor) apply(page *platform.ReadResponse, now time.Time) {
	g.leases.apply(page, now)
	for server, current := range g.leases.current {
		g.fences[server] = max(g.fences[server], current.offset)
	}
}

// holder returns who holds the lease in force on a server.
func (g *grantor) holder(server string) (holderID, bool) {
	current, ok := g.leases.current[server]
	return current.holder, ok && !current.released
}

// claimLease returns the record by which this instance takes or renews the lease.
func (g *grantor) claimLease(server string, now time.Time) records.Lease {
	return g.newRecord(server, now, false)
}

func (g *grantor) newRecord(server string, now time.Time, released bool) records.Lease {
	g.sequence++
	g.sentAt[g.sequence] = now
	record := records.Lease{
		Writer:   records.Writer{Instance: g.self.instance, Incarnation: g.self.incarnation, Sequence: g.sequence},
		Server:   server,
		Previous: records.NoLease,
		ReadFrom: g.leases.readFrom,
		Released: released,
	}
	current, ok := g.leases.current[server]
	switch {
	case ok && current.uncertain:
		record.ReadFrom = g.leases.next
	case ok:
		record.Previous = current.offset
	}
	return record
}

// releaseLease returns the record that gives a lease up, if no slot is in use.
func (g *grantor) releaseLease(server string, now time.Time) (records.Lease, bool) {
	current, ok := g.leases.current[server]
	state := g.coldServers[server]
	held := ok && current.holder == g.self && !current.released && !current.uncertain && !now.Before(current.notBefore)
	if !held || state != nil && state.inUse(now) > 0 {
		return records.Lease{}, false
	}
	record := g.newRecord(server, now, true)
	g.releasedBy[server] = record.Writer.Sequence
	return record, true
}

// renewalDue reports whether this instance holds the lease and should renew
// it.
func (g *grantor) renewalDue(server string, now time.Time) bool {
	current, ok := g.leases.current[server]
	if !ok || current.holder != g.self || current.released {
		return false
	}
	return now.Sub(g.sentAt[current.sequence]) >= renewInterval
}

// leaseExpired reports whether no lease can be valid on a server any more.
func (g *grantor) leaseExpired(server string, now time.Time) bool {
	current, ok := g.leases.current[server]
	return !ok || current.released || now.Sub(current.readAt) > g.durations.lease
}

// leaseValid reports whether a slot granted now ends while the own lease is
// still valid.
func (g *grantor) leaseValid(server string, now time.Time) bool {
	current, ok := g.leases.current[server]
	if !ok || current.holder != g.self || current.uncertain || current.released || now.Before(current.notBefore) {
		return false
	}
	sentAt, known := g.sentAt[current.sequence]
	return known && !now.Add(g.durations.slot).After(sentAt.Add(g.durations.lease))
}

// grant returns a slot on a cold server. The error is of the kind ErrNoLease
// or ErrBoundReached.
func (g *grantor) grant(server string, run serverRun, limit *document.ColdLimit, now time.Time) (Slot, error) {
	state := g.state(server, run, limit)
	if !g.leaseValid(server, now) || g.leases.current[server].sequence < g.releasedBy[server] {
		return Slot{}, merry.Prepend(ErrNoLease, server)
	}
	if state.inUse(now) >= state.bound {
		return Slot{}, merry.Prepend(ErrBoundReached, server)
	}
	g.slotNumber++
	state.slots[g.slotNumber] = now.Add(g.durations.slot)
	return Slot{Server: server, Fence: g.leases.current[server].offset, Number: g.slotNumber}, nil
}

func (g *grantor) state(server string, run serverRun, limit *document.ColdLimit) *coldServer {
	state := g.coldServers[server]
	if state == nil {
		state = &coldServer{slots: map[uint64]time.Time{}}
		g.coldServers[server] = state
	}
	state.resetOnChange(run, limit)
	return state
}

// slotReleased takes back a slot with the outcome of its call. It reports whether
// the server has now shown that it is warm.
func (g *grantor) slotReleased(request *ReleaseRequest) bool {
	state := g.coldServers[request.Slot.Server]
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

// checkSlot checks a slot just before its use. The error is of the kind
// ErrStaleSlot.
func (g *grantor) checkSlot(slot Slot, askedAt, now time.Time) error {
	if now.Sub(askedAt) > slotUseTimeout {
		return merry.Prepend(ErrStaleSlot, "answer came late")
	}
	if slot.Fence < g.fences[slot.Server] {
		return merry.Prepend(ErrStaleSlot, "holder has been replaced")
	}
	g.fences[slot.Server] = slot.Fence
	return nil
}

// prune forgets what is no longer needed.
func (g *grantor) prune(now time.Time) {
	for sequence, sent := range g.sentAt {
		if now.Sub(sent) > g.durations.lease+takeoverMargin {
			delete(g.sentAt, sequence)
		}
	}
	for server := range g.releasedBy {
		if g.leaseExpired(server, now) {
			delete(g.releasedBy, server)
		}
	}
	for server, state := range g.coldServers {
		if state.inUse(now) == 0 && g.leaseExpired(server, now) {
			delete(g.coldServers, server)
		}
	}
}
