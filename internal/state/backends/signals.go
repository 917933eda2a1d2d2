package backends

import "time"

// serverSignals holds what the answers of a server say about receiving further
// requests. A new incarnation of the server resets it.
type serverSignals struct {
	draining     bool
	backoffUntil time.Time
}

// MarkDraining records that an answer of the server announced that it is
// draining.
func (b *Backend) MarkDraining() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.signals.draining = true
}

// ExtendBackoff records that the server asked not to receive requests until the
// given time. An earlier time does not replace a later one.
func (b *Backend) ExtendBackoff(until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if until.After(b.signals.backoffUntil) {
		b.signals.backoffUntil = until
	}
}

// InBackoff reports whether the server asked not to receive requests at the
// given time.
func (s *Snapshot) InBackoff(now time.Time) bool { return now.Before(s.BackoffUntil) }
