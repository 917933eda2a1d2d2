package keyedlog

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// historyRecords and historyBytes bound the history of a topic that is kept for
	// peers: the records that an instance may miss within some seconds, and a few
	// configurations.
	historyRecords = 512
	historyBytes   = 1 << 20
	// regainedReportTime is how long the end of an outage is reported to peers.
	regainedReportTime = 4 * time.Second
)

// history keeps the latest records of a topic for peers.
type history struct {
	mu      sync.Mutex
	records []Record
	bytes   int
	// first is the offset from which the history has no gaps; next is the position
	// after its end.
	first int64
	next  Position
	// newest holds the newest record of each key.
	newest map[string]Record
}

// restart resets the history to the newest record of each key as of next; it keeps
// no log records before next.
func (h *history) restart(newest []Record, next Position) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.records, h.bytes, h.first, h.next = nil, 0, next.Offset, next
	h.newest = make(map[string]Record, len(newest))
	for _, r := range newest {
		h.newest[r.Key] = r
	}
}

// snapshot returns the newest record of each key.
func (h *history) snapshot() ([]Record, Position) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Collect(maps.Values(h.newest)), h.next
}

// add appends records; next is the offset up to which they are complete. It drops
// the oldest records beyond the bounds.
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
	h.next.Offset = next
	for len(h.records) > 0 && (len(h.records) > historyRecords || h.bytes > historyBytes) {
		h.bytes -= len(h.records[0].Value)
		h.first = h.records[0].Offset + 1
		h.records = h.records[1:]
	}
}

// since returns the records from a position on and the position after them; false if
// some are not kept.
func (h *history) since(from Position) ([]Record, Position, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if from.Era != h.next.Era || from.Offset < h.first || from.Offset > h.next.Offset {
		return nil, Position{}, false
	}
	at := len(h.records)
	for at > 0 && h.records[at-1].Offset >= from.Offset {
		at--
	}
	return append([]Record(nil), h.records[at:]...), h.next, true
}
