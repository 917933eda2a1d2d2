package peers

import (
	"cmp"
	"slices"
	"time"
)

// Answered reports whether a datagram of an instance that is ready has arrived, or of
// each known instance.
func (t *Table) Answered() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	silent := 0
	for _, p := range t.peers {
		switch {
		case p.receivedAt.IsZero():
			silent++
		case p.instance.Ready:
			return true
		}
	}
	return silent == 0
}

// Running returns the running instances, including this one, sorted by name.
func (t *Table) Running() []Instance {
	self := t.opts.Self()
	now := t.opts.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	reported := t.reported(now)
	running := []Instance{self}
	for name, p := range t.peers {
		switch {
		case t.alive(p, now):
			running = append(running, p.instance)
		case !p.unresponsive(now):
			if instance, ok := reported[name]; ok {
				running = append(running, *instance)
			}
		}
	}
	slices.SortFunc(running, func(a, b Instance) int { return cmp.Compare(a.Name, b.Name) })
	return running
}

// alive reports whether a datagram of the peer itself has arrived within the
// timeout and the peer is not unresponsive.
func (t *Table) alive(p *peer, now time.Time) bool {
	limit := silenceTimeout
	if t.Large() {
		limit = pollTimeout
	}
	return !p.receivedAt.IsZero() && now.Sub(p.receivedAt) < limit && !p.unresponsive(now)
}

// unresponsive reports whether a peer has left requests unanswered for so long
// that it is considered failed.
func (p *peer) unresponsive(now time.Time) bool {
	silentFor := now.Sub(p.requestedAt)
	return p.pending >= minUnanswered && silentFor >= replyTimeout && silentFor < suspicionTime
}
