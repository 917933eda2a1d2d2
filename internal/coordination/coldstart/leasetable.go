package coldstart

import (
	"encoding/json"
	"time"

	"medlarslip/internal/protocol/platform"
	"medlarslip/internal/protocol/records"
)

// holderID names one run of an instance.
type holderID struct{ instance, incarnation string }

// lease is the lease in force on one server, as one reader of the stream sees
// it.
type lease struct {
	offset   int64
	holder   holderID
	sequence uint64
	released bool
	// uncertain leases were adopted after a gap; later records may show that
	// they never took effect.
	uncertain bool
	readAt    time.Time
	// notBefore is when all slots of earlier holders have ended.
	notBefore time.Time
}

// leaseTable is the state of the leases stream. Readers of the same records agree
// on which lease is in force, whatever their clocks say.
type leaseTable struct {
	durations durations
	current   map[string]lease
	next      int64
	// readFrom is the lowest offset since which no record was missed.
	readFrom int64
	// gapAt is when records were found missing; zero if none were.
	gapAt time.Time
}

func newLeaseTable(t durations) *leaseTable {
	return &leaseTable{durations: t, current: map[string]lease{}}
}

// apply takes over one page that was received at the given time.
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

// applyRecord applies one record. After a gap the reader can't tell which lease was
// in force, so it adopts the newest record as uncertain until one shows that
// it replaces whatever was there.
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

// takesEffect reports whether a record replaces the lease in force, where that
// is known.
func takesEffect(record *records.Lease, old lease, exists bool) bool {
	if record.Previous == records.NoLease {
		return !exists || old.offset < record.ReadFrom
	}
	return exists && record.Previous == old.offset
}

// supersedesMissed reports whether a record takes effect whatever was in force
// among the records that this reader missed.
func (l *leaseTable) supersedesMissed(record *records.Lease, old lease, exists bool) bool {
	readEnough := record.ReadFrom >= l.readFrom && (!exists || record.ReadFrom > old.offset)
	return record.Previous == records.NoLease && readEnough
}

// notBefore returns when the slots of earlier holders have ended. An old lease
// is waited out from when its record was read, which is later than when its
// holder began to count.
func (l *leaseTable) notBefore(taken *lease, old lease, exists, certain bool) time.Time {
	wait := l.durations.lease + takeoverMargin
	switch {
	case certain && !exists:
		return time.Time{}
	case certain && old.holder == taken.holder:
		return old.notBefore
	case certain && old.released:
		return time.Time{}
	case certain:
		return old.readAt.Add(wait)
	case !exists:
		return l.gapAt.Add(wait)
	default:
		return taken.readAt.Add(wait)
	}
}
