package keyedlog

import "cmp"

// Position is a position in a topic. A store that is restored from an older copy
// begins a new era, in which it assigns the offsets of the lost records again, so
// offsets of different eras must not be compared.
type Position struct {
	// Era is the era that the store states; 0 if it states none.
	Era int64
	// Offset is the offset after the last record; negative before the first read.
	Offset int64
}

// Before reports whether p is in an earlier era than q, or in the same one at a lower
// offset.
func (p Position) Before(q Position) bool {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Offset, q.Offset)) < 0
}

// Covers reports whether all records up to q are applied at p: both are in the same
// era, and p is not before q.
func (p Position) Covers(q Position) bool {
	return p.Offset >= 0 && p.Era == q.Era && p.Offset >= q.Offset
}

// unread is the position before the first read.
var unread = Position{Offset: -1}
