package clientmemory

import (
	"time"
)

// candidate is a holding that may be evicted.
type candidate struct {
	holding *Holding
	stalled bool
	// waiting is true for a connection that waits for its next request.
	waiting bool
	// weight is what its address holds.
	weight   int64
	progress time.Time
}

// before reports whether c is to be evicted before other: stalled ones first, of these the ones
// between two requests last, since their clients comply with the limits, then those of the
// address that holds most, then those without progress for the longest time.
func (c *candidate) before(other *candidate) bool {
	switch {
	case other.holding == nil:
		return true
	case c.stalled != other.stalled:
		return c.stalled
	case c.waiting != other.waiting:
		return other.waiting
	case c.weight != other.weight:
		return c.weight > other.weight
	default:
		return c.progress.Before(other.progress)
	}
}

// selectHolding returns the holding to evict for one whose address would hold own bytes, or nil.
func (b *Budget) selectHolding(h *Holding, own int64, sameAddress bool) *Holding {
	weight := func(a *address) int64 { return a.bytes }
	only := func(other *Holding) bool { return !sameAddress || other.address == h.address }
	return b.selectVictim(h, own, weight, only)
}

// selectConnection returns the connection to evict for a new one of the same group, or the
// error with which the new one is refused.
func (b *Budget) selectConnection(h *Holding, limit int64) (*Holding, error) {
	weight := func(a *address) int64 { return a.connections[h.group] }
	own, addresses := int64(1), int64(1)
	for i := range b.shards {
		s := &b.shards[i]
		s.mu.Lock()
		for name, a := range s.addresses {
			switch {
			case name == h.address:
				own += weight(a)
			case weight(a) > 0:
				addresses++
			}
		}
		s.mu.Unlock()
	}
	if victim := b.selectVictim(h, own, weight, func(other *Holding) bool { return other.group == h.group && !other.exempt }); victim != nil {
		return victim, nil
	}
	if own > 1 && own*addresses > limit {
		return nil, ErrAddressFull
	}
	return nil, ErrFull
}

// selectVictim returns the best candidate other than h. One that is not stalled is evicted only if
// its address holds more than own, what the address of h would hold.
func (b *Budget) selectVictim(h *Holding, own int64, weight func(*address) int64, only func(*Holding) bool) *Holding {
	var best candidate
	now := b.now()
	for i := range b.shards {
		s := &b.shards[i]
		s.mu.Lock()
		for name, a := range s.addresses {
			for other := range a.holdings {
				c := candidate{holding: other, stalled: now.Sub(other.progress) >= StallTime, waiting: other.waiting, weight: weight(a), progress: other.progress}
				fair := name != h.address && c.weight > own
				if other != h && other.phase != Running && only(other) && (c.stalled || fair) && c.before(&best) {
					best = c
				}
			}
		}
		s.mu.Unlock()
	}
	return best.holding
}
