// Package memorymeter has an account of memory for tests of code that accounts for what it holds.
package memorymeter

import "errors"

// ErrFull is the error of a Meter whose limit is reached.
var ErrFull = errors.New("full")

// Meter refuses what exceeds its limit. It belongs to one goroutine.
type Meter struct {
	// Limit is the largest number of bytes that may be held; 0 allows none.
	Limit int64
	// Held is the number of bytes that are held, and Peak the largest that was.
	Held, Peak int64
}

// Grow accounts for n more bytes, or returns ErrFull and changes nothing.
func (m *Meter) Grow(n int64) error {
	if m.Held+n > m.Limit {
		return ErrFull
	}
	m.Held += n
	m.Peak = max(m.Peak, m.Held)
	return nil
}

// Shrink releases n bytes.
func (m *Meter) Shrink(n int64) { m.Held -= n }
