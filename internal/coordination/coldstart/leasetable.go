package coldstart

import (
	"encoding/json"
	"time"

	"medlarslip/internal/protocol/platform"
	"medlarslip/internal/protocol/records"
)

// holderID identifies one run of an instance.
type holderID struct{ instance, incarnation string }

// lease is the lease in force on one server, according to the records that one
// instance has read.
type lease struct {
	offset   int64
	holder   holderID
	sequence uint64
	released bool
	// uncertain is true for a lease that was adopted after a gap in the
	// records; later records may show that it never took effect.
	uncertain bool
	readAt    time.Time
	// notBefore is when all slots of earlier holders have ended; no slots are
	// granted before.
	notBefore time.Time
}

// leaseTable is the state that the leases stream results in. Instances that have
// read the same records agree on the lease in force, independent of their clocks.
type leaseTable struct {
	durations durations
	current   map[string]lease
	next      int64
	// readFrom is the offset from which on this instance has read every record.
	readFrom int64
	// gapAt is when the last gap in the records was detected; zero if there
	// was none.
	gapAt time.Time
}

func newLeaseTable(d durations) *leaseTable {
	return &leaseTable{durations: d, current: map[string]lease{}}
}

// apply applies one page that was received at the given time.
func (l *leaseTable) apply(page *platform.ReadResponse, now time.Time) {
	if page.FirstOffset > l.next {
		l.readFrom, l.gapAt = page.FirstOffset, now
		for server, old := range l.current {
			old.uncertain = true
			l.current[server] = old
		}
	}
	for i, raw := range page.Records {
		var record records.Lease
		offset := page.FirstOffset + int64(i)
		if offset < l.next || json.Unmarshal(raw, &record) != nil {
			continue
		}
		l.applyRecord(offset, &record, now)
	}
	l.next = max(l.next, page.FirstOffset+int64(len(page.Records)))
}

// applyRecord applies one record. After a gap the lease in force is unknown, so
// the newest record is adopted as uncertain until a record arrives that replaces
// any lease among the missed records.
func (l *leaseTable) applyRecord(offset int64, record *records.Lease, now time.Time) {
	old, exists := l.current[record.Server]
	certain := exists && !old.uncertain || !exists && l.gapAt.IsZero()
	if certain && !takesEffect(record, old, exists) {
		return
	}
	adopted := lease{
		offset:    offset,
		holder:    holderID{record.Writer.Instance, record.Writer.Incarnation},
		sequence:  record.Writer.Sequence,
		released:  record.Released,
		uncertain: !certain && !l.supersedesMissed(record, old, exists),
		readAt:    now,
	}
	adopted.notBefore = l.notBefore(&adopted, old, exists, certain)
	l.current[record.Server] = adopted
}

// takesEffect reports whether a record replaces the lease in force. It applies
// only if that lease is known with certainty.
func takesEffect(record *records.Lease, old lease, exists bool) bool {
	if record.Previous == records.NoLease {
		return !exists || old.offset < record.ReadFrom
	}
	return exists && record.Previous == old.offset
}

// supersedesMissed reports whether a record takes effect regardless of the
// records that this instance missed.
func (l *leaseTable) supersedesMissed(record *records.Lease, old lease, exists bool) bool {
	readEnough := record.ReadFrom >= l.readFrom && (!exists || record.ReadFrom > old.offset)
	return record.Previous == records.NoLease && readEnough
}

// notBefore returns when all slots of earlier holders have ended. The wait for an
// old lease starts when its record was read, which is later than the time from
// which its holder counts it.
func (l *leaseTable) notBefore(adopted *lease, old lease, exists, certain bool) time.Time {
	wait := l.durations.lease + takeoverMargin
	switch {
	case certain && !exists:
		return time.Time{}
	case certain && old.holder == adopted.holder:
		return old.notBefore
	case certain && old.released:
		return time.Time{}
	case certain:
		return old.readAt.Add(wait)
	case !exists:
		return l.gapAt.Add(wait)
	default:
		return adopted.readAt.Add(wait)
	}
}
