// Package buckets holds values by the time at which they were recorded, in buckets of a fixed width, for
// counts in sliding windows.
package buckets

import "time"

// Ring holds one value for each of the latest buckets. The zero value is empty. It is not safe for
// concurrent use.
type Ring[T any] struct {
	buckets []T
	width   time.Duration
	// start is when bucket 0 begins. Times are relative to it, by Go's monotonic clock where they have a
	// reading of that, so that a wall clock that is set neither ends the window early nor keeps values in it.
	start time.Time
	// current is the number of the current bucket.
	current int64
}

// Advance makes the bucket of the given time the current one and clears those that are more than length
// buckets back. A time slightly before the current bucket, as from callers that read the clock before they
// wait for a lock, changes nothing. If it is further off, or the width has changed, all buckets are cleared,
// since their values would stay for too long.
func (r *Ring[T]) Advance(now time.Time, width time.Duration, length int) {
	if width != r.width || len(r.buckets) != length {
		r.clear(now, width, length)
		return
	}
	at := int64(now.Sub(r.start) / width)
	if at-r.current >= int64(length) || r.current-at >= int64(length) {
		r.clear(now, width, length)
		return
	}
	for r.current < at {
		r.current++
		var empty T
		*r.Back(0) = empty
	}
}

func (r *Ring[T]) clear(now time.Time, width time.Duration, length int) {
	r.buckets = make([]T, length)
	r.width, r.start, r.current = width, now, 0
}

// Back returns the value of the bucket that is the given number of buckets before the current one.
func (r *Ring[T]) Back(buckets int) *T {
	length := int64(len(r.buckets))
	return &r.buckets[((r.current-int64(buckets))%length+length)%length]
}
