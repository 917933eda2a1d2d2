package fleetlimit

import (
	"time"

	"golang.org/x/time/rate"

	"medlarslip/internal/boottime"
)

const (
	// burstTime is the time in which an unused rate accumulates, and minBurst the
	// number of permits that may accumulate at any rate. Together with permits that
	// a previous coordinator has just granted, they stay below the overshoot that
	// servers with a limit tolerate.
	burstTime = 500 * time.Millisecond
	minBurst  = 2
	// minRate is the rate, in requests per second, at which a server with a limit
	// of zero or close to it is still used, since only its answers show that the
	// limit has ended.
	minRate = 0.1
	// maxWait bounds the wait that a refused request is told, since others that
	// wait may no longer need their permits.
	maxWait = 5 * time.Second
	// inactiveWait is the wait that an instance is told by one that is not the
	// coordinator, or that has just started and does not know the fleet yet.
	inactiveWait = 300 * time.Millisecond
)

// bucket holds the permits that this instance may grant for a server.
type bucket struct {
	tokens *rate.Limiter
	// lastTurn is the latest time at which an instance that was refused was told
	// to ask again.
	lastTurn time.Time
}

// clockTime converts an instant for package rate, which uses differences only.
func clockTime(at boottime.Instant) time.Time { return time.Unix(0, int64(at)) }

// newBucket returns a bucket with a single token: a previous coordinator may have
// granted permits just before.
func newBucket(perSecond float64, now boottime.Instant) *bucket {
	b := &bucket{tokens: rate.NewLimiter(rate.Limit(perSecond), burst(perSecond))}
	b.tokens.AllowN(clockTime(now), burst(perSecond)-1)
	return b
}

func burst(perSecond float64) int { return max(int(burstTime.Seconds()*perSecond), minBurst) }

// take takes one token, or returns the time after which to ask again. Instances
// that are refused get their turns one after the other, so that they neither ask
// all at once nor more often than permits become available.
func (b *bucket) take(perSecond float64, now boottime.Instant) (granted bool, wait time.Duration) {
	at := clockTime(now)
	if b.tokens.Limit() != rate.Limit(perSecond) {
		b.tokens.SetLimitAt(at, rate.Limit(perSecond))
		b.tokens.SetBurstAt(at, burst(perSecond))
		b.lastTurn = time.Time{}
	}
	if b.tokens.AllowN(at, 1) {
		return true, 0
	}
	interval := time.Duration(float64(time.Second) / perSecond)
	next := at.Add(time.Duration((1 - b.tokens.TokensAt(at)) * float64(interval)))
	if turn := b.lastTurn.Add(interval); turn.After(next) {
		next = turn
	}
	if latest := at.Add(maxWait); next.After(latest) {
		next = latest
	}
	b.lastTurn = next
	return false, next.Sub(at)
}

// grant decides on a permit as the coordinator of the server.
func (l *Limiter) grant(s *server) (granted bool, wait time.Duration) {
	share := l.opts.Share()
	now := l.opts.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.said.limit.Stated {
		return true, 0
	}
	if share <= 0 {
		return false, inactiveWait
	}
	perSecond := max(s.said.limit.PerSecond, minRate) * share
	if s.bucket == nil {
		s.bucket = newBucket(perSecond, now)
	}
	return s.bucket.take(perSecond, now)
}
