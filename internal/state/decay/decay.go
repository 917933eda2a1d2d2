// Package decay counts with exponential decay, so that what is long ago no
// longer counts.
package decay

import (
	"math"
	"time"
)

// Counts holds the weight of all that was counted, and that of the part which is
// of interest. The zero value is empty. It is not safe for concurrent use.
type Counts struct {
	Part, All float64
	at        time.Time
}

// Decay lets what was counted lose half of its weight in each half-life up to
// now.
func (c *Counts) Decay(now time.Time, halfLife time.Duration) {
	if !c.at.IsZero() {
		factor := math.Exp2(-float64(now.Sub(c.at)) / float64(halfLife))
		c.Part *= factor
		c.All *= factor
	}
	c.at = now
}

// Add counts something of the given weight.
func (c *Counts) Add(now time.Time, halfLife time.Duration, weight float64, inPart bool) {
	c.Decay(now, halfLife)
	c.All += weight
	if inPart {
		c.Part += weight
	}
}
