package gateway

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func countBefore(times []time.Time, end time.Time) int {
	n := 0
	for _, at := range times {
		if at.Before(end) {
			n++
		}
	}
	return n
}

// TestColdSharesHoldTogether checks the rate of all instances together to a cold
// server in every second. There are more instances than any of them has
// observed, and all send as much as they may.
func TestColdSharesHoldTogether(t *testing.T) {
	opts := &ColdOptions{Overshoot: 1.5, Slack: 5}
	for _, c := range []struct {
		perSecond     float64
		known, actual int
	}{{14, 8, 11}, {13, 9, 13}, {8.8, 66, 75}, {1, 3, 4}, {0.2, 66, 90}} {
		bound := c.perSecond*opts.Overshoot + opts.Slack
		random := rand.New(rand.NewPCG(1, uint64(c.known)))
		gates := make([]*coldLimiter, c.actual)
		for i := range gates {
			gates[i] = newColdLimiter()
		}
		var sent []time.Time
		now := time.Unix(1000, 0)
		for range 8000 {
			now = now.Add(time.Duration(random.IntN(int(5 * time.Millisecond))))
			instance := random.IntN(c.actual)
			// Instances that are not known yet may compute any rank.
			perWindow := coldShare(c.perSecond, opts, c.known, instance*c.known/c.actual)
			if gates[instance].allow("s", now, perWindow, true) {
				sent = append(sent, now)
			}
		}
		must.Positive(t, len(sent))
		for i := range sent {
			must.LessEq(t, bound, float64(countBefore(sent[i:], sent[i].Add(time.Second))), must.Sprintf("%+v", c))
		}
	}
}

// TestProofOfConfiguration guards against the acceptance of a revoked key. It
// enumerates every order of a revocation, a read of the store and a request,
// with a suspended machine at any step. No request that is sent more than the
// bound after the revocation may pass. To show that the enumeration detects
// faults, it must find one if the age of the configuration is counted from the
// end of the read.
func TestProofOfConfiguration(t *testing.T) {
	must.Zero(t, countViolations(func(r read) int { return r.started }))
	must.Positive(t, countViolations(func(r read) int { return r.ended }))
}

// read is one read of the store. The store takes the value that it returns at
// answered, between the start and the end.
type read struct{ started, answered, ended int }

func countViolations(provenAt func(read) int) int {
	const steps, bound = 9, 3
	violations := 0
	for revoked := range steps {
		for started := range steps {
			for answered := started; answered < steps; answered++ {
				for ended := answered; ended < steps; ended++ {
					r := read{started, answered, ended}
					for sent := revoked + bound + 1; sent < 2*steps; sent++ {
						// The request is checked some time after it was sent, and
						// later still on a suspended machine.
						for checked := max(sent, ended); checked < 2*steps; checked++ {
							seen := revoked <= answered
							if !seen && checked-provenAt(r) <= bound {
								violations++
							}
						}
					}
				}
			}
		}
	}
	return violations
}
