package gateway

import (
	"math"
	"sync"
	"time"
)

// ColdOptions bound what a cold server gets from all instances together.
type ColdOptions struct {
	// Overshoot multiplies the rate that the service names.
	Overshoot float64
	// Slack is added to it, in requests a second.
	Slack float64
}

// unknownInstanceFactor is the factor by which the number of known instances is taken
// to grow while nobody has heard of the new ones yet.
const unknownInstanceFactor = 1.5

// coldWindow is the span over which requests to a cold server are counted. It
// is longer than the second that the bound names, since requests sent over
// more than a second may arrive inside one.
const coldWindow = 1200 * time.Millisecond

// coldLimiter bounds the requests of this instance to each cold server by a
// static share of what the server bears, so that the bound holds over all
// instances, whether or not they reach each other.
type coldLimiter struct {
	mu   sync.Mutex
	sent map[string][]time.Time // server ID to the moments of recent requests
}

func newColdLimiter() *coldLimiter { return &coldLimiter{sent: map[string][]time.Time{}} }

// coldShare returns how many requests an instance may send within a coldWindow.
// Where the server bears fewer than there are instances, only those of the
// lowest ranks may send any.
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

// allow reports whether one more request may be sent; with take it is counted.
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
