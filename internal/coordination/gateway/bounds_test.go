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

// TestColdSharesHoldTogether has more instances than any of them knows of send
// as much as they may, and counts each second.
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
			// Those that are not known yet see themselves in any place.
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

// TestProofOfConfiguration explores every order of a revocation, a read of the
// store and a request in small steps, with suspensions of the machine at any
// step, and checks that no request which was sent a bound after the revocation
// passes. With the end of a read as its proof, as a rule broken on purpose,
// the exploration must find a request that passes.
func TestProofOfConfiguration(t *testing.T) {
	must.Zero(t, countViolations(func(r read) int { return r.started }))
	must.Positive(t, countViolations(func(r read) int { return r.ended }))
}

// read is one read of the store: what it saw is decided between its start and
// its end.
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
						// The request is checked some time after it was sent; a
						// suspended machine checks later still.
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
