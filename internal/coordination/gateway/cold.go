package gateway

import (
	"math"
	"sync"
	"time"
)

// ColdOptions bounds the rate of requests that a cold server receives from all
// instances together.
type ColdOptions struct {
	// Overshoot multiplies the rate that is configured for the service.
	Overshoot float64
	// Slack is added to the product, in requests per second.
	Slack float64
}

// unknownInstanceFactor bounds the growth of the fleet that this instance has
// not observed yet, as a multiple of the number of known instances.
const unknownInstanceFactor = 1.5

// coldWindow is the window in which requests to a cold server are counted. It
// is longer than the second of the limit, since requests that are sent over
// more than a second may arrive within one.
const coldWindow = 1200 * time.Millisecond

// coldLimiter limits the rate of requests of this instance to each cold server
// to a static share of what the server can handle. The limit of all instances
// together therefore holds whether or not they can reach each other.
type coldLimiter struct {
	mu   sync.Mutex
	sent map[string][]time.Time // server ID to the times of recent requests
}

func newColdLimiter() *coldLimiter { return &coldLimiter{sent: map[string][]time.Time{}} }

// coldShare returns the number of requests that an instance may send within a
// coldWindow. If the server can handle fewer requests than there are instances,
// only the instances of the lowest ranks may send any.
func coldShare(perSecond float64, opts *ColdOptions, instances, rank int) int {
	bound := perSecond*opts.Overshoot + opts.Slack
	if own := bound / math.Ceil(float64(max(instances, 1))*unknownInstanceFactor); own >= 1 {
		return int(own)
	}
	if float64(rank) < math.Floor(bound/unknownInstanceFactor) {
		return 1
	}
	return 0
}

// allow reports whether one more request may be sent, and with take counts it.
func (g *coldLimiter) allow(server string, now time.Time, count int, take bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	recent := g.sent[server]
	for len(recent) > 0 && now.Sub(recent[0]) >= coldWindow {
		recent = recent[1:]
	}
	if len(recent) == 0 {
		delete(g.sent, server)
	} else {
		g.sent[server] = recent
	}
	if len(recent) >= count {
		return false
	}
	if take {
		g.sent[server] = append(recent, now)
	}
	return true
}
