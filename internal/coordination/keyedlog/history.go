package keyedlog

import (
	"maps"
	"slices"
	"sync"
	"time"

	"medlarslip/internal/boottime"
)

const (
	// historyRecords and historyBytes bound what is kept of a topic for peers:
	// what an instance may miss in some seconds, and a few configurations.
	historyRecords = 512
	historyBytes   = 1 << 20
	// regainedReportTime is how long an outage is told of after its end.
	regainedReportTime = 4 * time.Second
)

// history keeps the latest records of a topic for peers.
type history struct {
	mu      sync.Mutex
	records []Record
	bytes   int
	// first is the offset from which on it is whole; next is the offset after
	// its end.
	first, next int64
	// newest holds the newest record of each key.
	newest map[string]Record
}

// restart begins anew with the newest record of each key; what came before next
// is not kept.
func (h *history) restart(newest []Record, next int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.records, h.bytes, h.first, h.next = nil, 0, next, next
	h.newest = make(map[string]Record, len(newest))
	for _, r := range newest {
		h.newest[r.Key] = r
	}
}

// snapshot returns the newest record of each key.
func (h *history) snapshot() ([]Record, int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Collect(maps.Values(h.newest)), h.next
}

// add appends records. next is the offset after the last one.
func (h *history) add(records []Record, next int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range records {
		h.records = append(h.records, r)
		h.bytes += len(r.Value)
		if r.Value == nil {
			delete(h.newest, r.Key)
		} else {
			h.newest[r.Key] = r
		}
	}
	h.next = next
	for len(h.records) > 0 && (len(h.records) > historyRecords || h.bytes > historyBytes) {
		h.bytes -= len(h.records[0].Value)
		h.first = h.records[0].Offset + 1
		h.records = h.records[1:]
	}
}

// since returns the records from an offset on; false if some are not kept.
func (h *history) since(from int64) ([]Record, int64, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if from < h.first || from > h.next {
		return nil, 0, false
	}
	at := len(h.records)
	for at > 0 && h.records[at-1].Offset >= from {
		at--
	}
	return append([]Record(nil), h.records[at:]...), h.next, true
}

// Since returns for a peer the records from an offset on, or the newest of each
// key for a negative one; the error is ErrNotKept where some are not kept.
func (f *Follower) Since(from int64) (*RelayedPage, error) {
	if !f.Loaded() {
		return nil, ErrNotKept
	}
	p := &RelayedPage{Snapshot: from < 0}
	if p.Snapshot {
		p.Records, p.Next = f.history.snapshot()
	} else {
		var kept bool
		if p.Records, p.Next, kept = f.history.since(from); !kept {
			return nil, ErrNotKept
		}
	}
	regained := f.RegainedAt()
	if ago := boottime.Now().Since(regained); regained != 0 && ago < regainedReportTime {
		p.Regained = &ago
	}
	return p, nil
}
