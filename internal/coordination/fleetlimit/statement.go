package fleetlimit

import (
	"math"
	"time"

	"medlarslip/internal/boottime"
)

// Limit is a rate limit as the header of an answer states it.
type Limit struct {
	// Stated is true if the answer states a limit.
	Stated bool
	// PerSecond is the rate of requests that the server accepts from all
	// instances together.
	PerSecond float64
	// Invalid is true if the answer states a limit that can't be decoded.
	Invalid bool
}

// rate returns the permitted rate without any limit as infinity, so that rates
// compare.
func (l Limit) rate() float64 {
	if !l.Stated {
		return math.Inf(1)
	}
	return l.PerSecond
}

// statement is what a server said about its limit, with bounds of the moment at
// which it said so, on the clock of this instance.
type statement struct {
	limit    Limit
	from, to boottime.Instant
}

// replaces reports whether s is to be used instead of old. If neither is
// certainly the later one, the stricter of the two is used.
func (s *statement) replaces(old *statement) bool {
	switch {
	case s.from > old.to:
		return true
	case s.to < old.from:
		return false
	default:
		return s.limit.rate() < old.limit.rate()
	}
}

// Report is a statement for other instances. Clocks of two instances are not
// compared, so it holds ages.
type Report struct {
	Server string `cbor:"1,keyasint"`
	// Limited is false if the server no longer states a limit.
	Limited   bool    `cbor:"2,keyasint,omitempty"`
	PerSecond float64 `cbor:"3,keyasint,omitempty"`
	// OldestAge and NewestAge bound the time since the server said so.
	OldestAge time.Duration `cbor:"4,keyasint"`
	NewestAge time.Duration `cbor:"5,keyasint"`
}

// report returns a statement as it is sent at now.
func (s *statement) report(server string, now boottime.Instant) Report {
	return Report{
		Server: server, Limited: s.limit.Stated, PerSecond: s.limit.PerSecond,
		OldestAge: now.Since(s.from), NewestAge: now.Since(s.to),
	}
}

// statement returns the statement of a report that was received at now and sent
// at sentAfter or later. A report that was in transit for long, as to an instance
// that was suspended, must not pass for a recent one.
func (r *Report) statement(sentAfter, now boottime.Instant) statement {
	return statement{
		limit: Limit{Stated: r.Limited, PerSecond: r.PerSecond},
		from:  max(sentAfter-boottime.Instant(r.OldestAge), 0), to: now - boottime.Instant(r.NewestAge),
	}
}

// valid reports whether a report of another instance can be used.
func (r *Report) valid() bool {
	return r.Server != "" && ValidRate(r.PerSecond) && r.NewestAge >= 0 && r.OldestAge >= r.NewestAge
}

// ValidRate reports whether a number is usable as a rate limit.
func ValidRate(perSecond float64) bool { return perSecond >= 0 && !math.IsInf(perSecond, 1) }
