// Package decay counts and averages with exponential decay, so that what is long
// ago no longer counts.
package decay

import (
	"math"
	"time"
)

// Counts holds the weight of all that was counted, and that of the part which is
// of interest. The zero value is empty. It is not safe for concurrent use.
type Counts struct {
	Matching, Total float64
	updatedAt       time.Time
}

// Decay lets what was counted lose half of its weight in each half-life up to
// now.
func (c *Counts) Decay(now time.Time, halfLife time.Duration) {
	if !c.updatedAt.IsZero() {
		factor := math.Exp2(-float64(now.Sub(c.updatedAt)) / float64(halfLife))
		c.Matching *= factor
		c.Total *= factor
	}
	c.updatedAt = now
}

// Add counts something of the given weight.
func (c *Counts) Add(now time.Time, halfLife time.Duration, weight float64, matching bool) {
	c.Decay(now, halfLife)
	c.Total += weight
	if matching {
		c.Matching += weight
	}
}

// Mean is a mean of values that forgets. The zero value is empty; a Mean is copied
// freely and is not safe for concurrent use.
type Mean struct {
	weight, sum float64
	updatedAt   time.Time
}

// Add returns the mean with one more value.
func (m Mean) Add(now time.Time, halfLife time.Duration, value float64) Mean {
	m = m.decayed(now, halfLife)
	m.weight++
	m.sum += value
	return m
}

// Value returns the mean where an assumed value counts for the given number of
// values.
func (m Mean) Value(now time.Time, halfLife time.Duration, prior, priorWeight float64) float64 {
	m = m.decayed(now, halfLife)
	return (m.sum + prior*priorWeight) / (m.weight + priorWeight)
}

func (m Mean) decayed(now time.Time, halfLife time.Duration) Mean {
	if !m.updatedAt.IsZero() {
		factor := math.Exp2(-float64(now.Sub(m.updatedAt)) / float64(halfLife))
		m.weight *= factor
		m.sum *= factor
	}
	m.updatedAt = now
	return m
}
