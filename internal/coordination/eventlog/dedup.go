package eventlog

import (
	"encoding/json"

	"medlarslip/internal/protocol/records"
)

// stamp is the part of every record that identifies it.
type stamp struct {
	Writer records.Writer `json:"writer"`
}

// source is one run of one process.
type source struct{ instance, incarnation string }

// progress is the last record that was seen of a source.
type progress struct {
	sequence uint64
	offset   int64
}

// deduplicator recognises records that were appended more than once. A source
// appends its records in the order of their sequence numbers, so that one
// which is not above the highest seen is a repeat.
type deduplicator struct {
	seen map[source]progress
}

func newDeduplicator() *deduplicator {
	return &deduplicator{seen: map[source]progress{}}
}

// isDuplicate reports whether a record was seen before. Records without a writer
// are never repeats.
func (r *deduplicator) isDuplicate(offset int64, raw json.RawMessage) bool {
	var s stamp
	if err := json.Unmarshal(raw, &s); err != nil || s.Writer.Sequence == 0 {
		return false
	}
	from := source{instance: s.Writer.Instance, incarnation: s.Writer.Incarnation}
	last, known := r.seen[from]
	if known && s.Writer.Sequence <= last.sequence {
		return true
	}
	r.seen[from] = progress{sequence: s.Writer.Sequence, offset: offset}
	return false
}

// forget drops the sources whose last record retention has removed. No append
// of theirs is still on its way after so long.
func (r *deduplicator) forget(oldest int64) {
	for from, last := range r.seen {
		if last.offset < oldest {
			delete(r.seen, from)
		}
	}
}
