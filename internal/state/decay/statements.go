package decay

import (
	"math"
	"time"
)

// Moments holds the weight of values, and the sums of the values and of their squares, with
// exponential decay. The zero value is empty. Moments may be copied.
type Moments struct {
	Weight, Sum, Squares float64
	updatedAt            time.Time
}

// MomentsAt returns moments with the given values at a time.
func MomentsAt(at time.Time, weight, sum, squares float64) Moments {
	return Moments{Weight: weight, Sum: sum, Squares: squares, updatedAt: at}
}

// At returns the moments decayed to now.
func (m Moments) At(now time.Time, halfLife time.Duration) Moments {
	if m.Weight != 0 && !m.updatedAt.IsZero() {
		factor := math.Exp2(-float64(now.Sub(m.updatedAt)) / float64(halfLife))
		m.Weight, m.Sum, m.Squares = m.Weight*factor, m.Sum*factor, m.Squares*factor
	}
	m.updatedAt = now
	return m
}

// Plus returns the moments of the values of both, which must be of the same time.
func (m Moments) Plus(other Moments) Moments {
	return Moments{m.Weight + other.Weight, m.Sum + other.Sum, m.Squares + other.Squares, m.updatedAt}
}

// Minus returns the moments without the values of other, which must be of the same time; empty
// if no weight is left.
func (m Moments) Minus(other Moments) Moments {
	if m.Weight-other.Weight < minWeight {
		return Moments{updatedAt: m.updatedAt}
	}
	return Moments{m.Weight - other.Weight, m.Sum - other.Sum, max(m.Squares-other.Squares, 0), m.updatedAt}
}

// Moments returns the weight and the sum of the values of a mean at now.
func (m Mean) Moments(now time.Time, halfLife time.Duration) Moments {
	m = m.decayed(now, halfLife)
	return Moments{Weight: m.weight, Sum: m.sum, updatedAt: now}
}

// Mean returns the mean of the values.
func (m Moments) Mean() Mean { return Mean{weight: m.Weight, sum: m.Sum, updatedAt: m.updatedAt} }

const (
	// minWeight is the weight below which moments count as empty.
	minWeight = 0.02
	// pruneTime is the time between two searches for empty statements of peers.
	pruneTime = 30 * time.Second
)

// Statements combines what peers state about one quantity. Each statement covers all
// observations of its sender, so a later one replaces it. The zero value is empty. It is not
// safe for concurrent use.
type Statements struct {
	byPeer   map[string]Moments
	prunedAt time.Time
	// fromFleet is true if total was computed from the sum over the fleet.
	fromFleet bool
	total     Moments
	// Own is what this instance last stated itself, and Fleet the last sum over the fleet that
	// it sent.
	Own, Fleet Sent
}

// Sent is the last statement that was sent, and its time.
type Sent struct {
	Moments Moments
	At      time.Time
}

// Set replaces the statement of a peer.
func (s *Statements) Set(peer string, stated Moments, now time.Time, halfLife time.Duration) {
	if s.fromFleet {
		// The sum over the fleet contains the statements of the peers.
		s.fromFleet, s.total = false, Moments{}
	}
	if s.byPeer == nil {
		s.byPeer = map[string]Moments{}
	}
	s.total = s.total.At(now, halfLife).Minus(s.byPeer[peer].At(now, halfLife)).Plus(stated.At(now, halfLife))
	s.byPeer[peer] = stated
	if now.Sub(s.prunedAt) < pruneTime {
		return
	}
	s.prunedAt = now
	for name, m := range s.byPeer {
		if m.At(now, halfLife).Weight < minWeight {
			delete(s.byPeer, name)
		}
	}
}

// SetFleet replaces all statements by the sum over the fleet, of which the last own statement is
// a part.
func (s *Statements) SetFleet(sum Moments, now time.Time, halfLife time.Duration) {
	s.byPeer, s.fromFleet = nil, true
	s.total = sum.At(now, halfLife).Minus(s.Own.Moments.At(now, halfLife))
}

// Total returns the moments of the observations of all peers.
func (s *Statements) Total(now time.Time, halfLife time.Duration) Moments {
	return s.total.At(now, halfLife)
}
