package keyedlog

import (
	"sync"
	"time"

	"medlarslip/internal/boottime"
)

const (
	// historyRecords and historyBytes bound what is kept of a topic for peers:
	// what an instance may miss in some seconds, and a few configurations.
	historyRecords = 512
	historyBytes   = 1 << 20
	// regainedTold is how long an outage is told of after its end.
	regainedTold = 4 * time.Second
)

// history keeps the latest records of a topic for peers.
type history struct {
	mu      sync.Mutex
	records []Record
	bytes   int
	// first is the offset from which on it is whole; next is the offset after
	// its end.
	first, next int64
}

// restart empties the history; it is whole from next on.
func (h *history) restart(next int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.records, h.bytes, h.first, h.next = nil, 0, next, next
}

// add appends records. next is the offset after the last one.
func (h *history) add(records []Record, next int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range records {
		h.records = append(h.records, r)
		h.bytes += len(r.Value)
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

// Since returns for a peer the records from an offset on; the error is
// ErrNotKept where some are not kept.
func (f *Follower) Since(from int64) (*RelayedPage, error) {
	records, next, ok := f.history.since(from)
	if !ok {
		return nil, ErrNotKept
	}
	p := &RelayedPage{Records: records, Next: next}
	regained := f.RegainedAt()
	if ago := boottime.Now().Since(regained); regained != 0 && ago < regainedTold {
		p.Regained = &ago
	}
	return p, nil
}
