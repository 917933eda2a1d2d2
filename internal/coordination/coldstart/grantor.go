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
	// ErrNoLease means that the instance can't grant slots on the server, or
	// that the holder of its lease is unknown or did not answer.
	ErrNoLease = merry.Sentinel("no valid lease on the cold backend server; ask its holder, or use warm servers")
	// ErrBoundReached means that all slots on the cold server are in use.
	ErrBoundReached = merry.Sentinel("cold backend server bears no more for now; use another, or ask again shortly")
	// ErrTooLong means that the call may last longer than a slot.
	ErrTooLong = merry.Sentinel("call may last longer than a slot on a cold backend server; use warm servers, or raise drain.longest_request_ms")
	// ErrStaleSlot means that the slot arrived too late, or was granted by a
	// holder that has been replaced.
	ErrStaleSlot = merry.Sentinel("slot on the cold backend server is stale; ask again")
)

// Slot permits one call to a cold server.
type Slot struct {
	Server string `json:"server"`
	// Fence is the fencing number of the slot: the offset of the lease under
	// which it was granted.
	Fence int64 `json:"fence"`
	// Number identifies the slot at the instance that granted it.
	Number uint64 `json:"number"`
}

// grantor decides on leases and slots for one instance. It does no I/O and reads
// no clock: the current time is an argument of its methods. It is not safe for
// concurrent use.
type grantor struct {
	self      holderID
	durations durations
	leases    *leaseTable
	sequence  uint64
	// sentAt is when each own record was created, by sequence. The holder
	// counts a lease from then, which is before its append.
	sentAt      map[uint64]time.Time
	slotNumber  uint64
	coldServers map[string]*coldServer
	// fences is the highest fencing number observed, by server.
	fences map[string]int64
	// releasedBy is the sequence of the own record that releases the lease, by
	// server. Only a lease with a later sequence allows grants.
	releasedBy map[string]uint64
}

func newGrantor(self holderID, longestCall time.Duration) *grantor {
	d := newDurations(longestCall)
	return &grantor{
		self: self, durations: d, leases: newLeaseTable(d), sentAt: map[uint64]time.Time{},
		coldServers: map[string]*coldServer{}, fences: map[string]int64{}, releasedBy: map[string]uint64{},
	}
}

// apply applies a page of the leases stream.
func (g *grantor) apply(page *platform.ReadResponse, now time.Time) {
	g.leases.apply(page, now)
	for server, current := range g.leases.current {
		g.fences[server] = max(g.fences[server], current.offset)
	}
}

// holder returns the holder of the lease in force on a server, and false if
// there is none.
func (g *grantor) holder(server string) (holderID, bool) {
	current, ok := g.leases.current[server]
	return current.holder, ok && !current.released
}

// claimLease returns a record by which this instance takes or renews the lease.
func (g *grantor) claimLease(server string, now time.Time) records.Lease {
	return g.newRecord(server, now, false)
}

// newRecord returns the next record of this instance. The record replaces the
// current lease. If that is unknown, it replaces any lease that precedes the
// records read without a gap; if uncertain, any lease among the records read so
// far or before them.
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

// releaseLease returns the record that releases the lease. It returns false if
// this instance is not certain to hold the lease, and while its own slots or
// those of an earlier holder may be in use.
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

// renewalDue reports whether this instance holds the lease and should renew it
// now.
func (g *grantor) renewalDue(server string, now time.Time) bool {
	current, ok := g.leases.current[server]
	if !ok || current.holder != g.self || current.released {
		return false
	}
	return now.Sub(g.sentAt[current.sequence]) >= renewInterval
}

// leaseExpired reports whether no instance can hold a valid lease on the server.
func (g *grantor) leaseExpired(server string, now time.Time) bool {
	current, ok := g.leases.current[server]
	return !ok || current.released || now.Sub(current.readAt) > g.durations.lease
}

// leaseValid reports whether this instance may grant slots: a slot granted now
// must end before the lease of this instance does.
func (g *grantor) leaseValid(server string, now time.Time) bool {
	current, ok := g.leases.current[server]
	if !ok || current.holder != g.self || current.uncertain || current.released || now.Before(current.notBefore) {
		return false
	}
	sentAt, known := g.sentAt[current.sequence]
	return known && !now.Add(g.durations.slot).After(sentAt.Add(g.durations.lease))
}

// grant grants a slot on a cold server. The error is of the kind ErrNoLease or
// ErrBoundReached.
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

// state returns the state of a cold server, reset if the server has restarted or
// its limit has changed.
func (g *grantor) state(server string, run serverRun, limit *document.ColdLimit) *coldServer {
	state := g.coldServers[server]
	if state == nil {
		state = &coldServer{slots: map[uint64]time.Time{}}
		g.coldServers[server] = state
	}
	state.resetOnChange(run, limit)
	return state
}

// slotReleased frees a slot and records the outcome of its call. It reports
// whether the server counts as warm now. It ignores a slot that has ended.
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

// checkSlot verifies a slot just before its use, as the instance that requested
// it. The error is of the kind ErrStaleSlot.
func (g *grantor) checkSlot(slot Slot, requestedAt, now time.Time) error {
	if now.Sub(requestedAt) > slotUseTimeout {
		return merry.Prepend(ErrStaleSlot, "answer came late")
	}
	if slot.Fence < g.fences[slot.Server] {
		return merry.Prepend(ErrStaleSlot, "holder has been replaced")
	}
	g.fences[slot.Server] = slot.Fence
	return nil
}

// prune removes expired state.
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
