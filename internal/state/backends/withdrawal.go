package backends

import "time"

// withdrawal is what a server has said in its answers about getting no more
// requests. It ends with the run of the server.
type withdrawal struct {
	draining     bool
	backoffUntil time.Time
}

// NoteDraining notes that an answer of the server said that it leaves.
func (b *Backend) NoteDraining() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.withdrawal.draining = true
}

// NoteBackoff notes that the server has asked for no further request until the
// given moment. An earlier moment does not replace a later one.
func (b *Backend) NoteBackoff(until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if until.After(b.withdrawal.backoffUntil) {
		b.withdrawal.backoffUntil = until
	}
}

// BacksOff reports whether the server wants no request at the given moment.
func (s *Snapshot) BacksOff(now time.Time) bool { return now.Before(s.BackoffUntil) }
