package backends

import "time"

// serverSignals is what a server has said in its answers about getting no more
// requests. It ends with the run of the server.
type serverSignals struct {
	draining     bool
	backoffUntil time.Time
}

// MarkDraining notes that an answer of the server said that it leaves.
func (b *Backend) MarkDraining() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.signals.draining = true
}

// ExtendBackoff notes that the server has asked for no further request until the
// given moment. An earlier moment does not replace a later one.
func (b *Backend) ExtendBackoff(until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if until.After(b.signals.backoffUntil) {
		b.signals.backoffUntil = until
	}
}

// InBackoff reports whether the server wants no request at the given moment.
func (s *Snapshot) InBackoff(now time.Time) bool { return now.Before(s.BackoffUntil) }
