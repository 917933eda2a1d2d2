// Package decay provides counts and means with exponential decay, so that old
// values lose their weight.
package decay

import (
	"math"
	"time"
)

// Counts holds the total weight of the counted events and the weight of the
// matching ones. The zero value is empty. It is not safe for concurrent use.
type Counts struct {
	Matching, Total float64
	updatedAt       time.Time
}

// Decay reduces the weights to their values at now: they halve in each half-life
// since the last call of Decay or Add.
func (c *Counts) Decay(now time.Time, halfLife time.Duration) {
	if !c.updatedAt.IsZero() {
		factor := math.Exp2(-float64(now.Sub(c.updatedAt)) / float64(halfLife))
		c.Matching *= factor
		c.Total *= factor
	}
	c.updatedAt = now
}

// Add decays the weights to now and adds an event of the given weight.
func (c *Counts) Add(now time.Time, halfLife time.Duration, weight float64, matching bool) {
	c.Decay(now, halfLife)
	c.Total += weight
	if matching {
		c.Matching += weight
	}
}

// Mean is an exponentially weighted mean of values. The zero value is empty. A
// Mean may be copied; it is not safe for concurrent use.
type Mean struct {
	weight, sum float64
	updatedAt   time.Time
}

// Add returns the mean with one more value of weight 1.
func (m Mean) Add(now time.Time, halfLife time.Duration, value float64) Mean {
	return m.AddWeighted(now, halfLife, value, 1)
}

// AddWeighted returns the mean with one more value of the given weight.
func (m Mean) AddWeighted(now time.Time, halfLife time.Duration, value, weight float64) Mean {
	m = m.decayed(now, halfLife)
	m.weight += weight
	m.sum += weight * value
	return m
}

// Weight returns the weight of all values at now.
func (m Mean) Weight(now time.Time, halfLife time.Duration) float64 {
	return m.decayed(now, halfLife).weight
}

// Value returns the mean at now, combined with a prior value that counts as much
// as the given number of values.
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
