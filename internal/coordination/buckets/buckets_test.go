package buckets_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/coordination/buckets"
)

const (
	width  = 250 * time.Millisecond
	length = 6
)

// counts returns the values of the ring, the current one first.
func counts(r *buckets.Ring[int]) []int {
	var all []int
	for i := range length {
		all = append(all, *r.Back(i))
	}
	return all
}

// TestValuesMoveBackAndExpire guards against values that are kept for longer or shorter than the length of
// the ring.
func TestValuesMoveBackAndExpire(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, c := range []struct {
		after    time.Duration
		expected []int
	}{
		{0, []int{7, 0, 0, 0, 0, 0}},
		{width - 1, []int{7, 0, 0, 0, 0, 0}},
		{width, []int{0, 7, 0, 0, 0, 0}},
		{5 * width, []int{0, 0, 0, 0, 0, 7}},
		{6 * width, []int{0, 0, 0, 0, 0, 0}},
		{time.Hour, []int{0, 0, 0, 0, 0, 0}},
	} {
		var r buckets.Ring[int]
		r.Advance(start, width, length)
		*r.Back(0) = 7
		r.Advance(start.Add(c.after), width, length)
		must.Eq(t, c.expected, counts(&r), must.Sprint(c.after))
	}
}

// TestClockThatGoesBack guards against counts that are lost because another caller read the clock later, and
// against counts that stay for as long as a clock was set back.
func TestClockThatGoesBack(t *testing.T) {
	start := time.Unix(1000, 0)
	var r buckets.Ring[int]
	r.Advance(start, width, length)
	*r.Back(0) = 7
	r.Advance(start.Add(-width), width, length)
	must.Eq(t, []int{7, 0, 0, 0, 0, 0}, counts(&r))
	r.Advance(start.Add(-time.Hour), width, length)
	must.Eq(t, []int{0, 0, 0, 0, 0, 0}, counts(&r))
	*r.Back(0) = 1
	r.Advance(start.Add(-time.Hour).Add(width), width, length)
	must.Eq(t, []int{0, 1, 0, 0, 0, 0}, counts(&r))
}

// TestWidthThatChanges guards against counts that never expire after the width of the buckets has changed.
func TestWidthThatChanges(t *testing.T) {
	start := time.Unix(1000, 0)
	var r buckets.Ring[int]
	r.Advance(start, width, length)
	*r.Back(0) = 7
	r.Advance(start, 2*width, length)
	must.Eq(t, []int{0, 0, 0, 0, 0, 0}, counts(&r))
	r.Advance(start, width, length)
	must.Eq(t, []int{0, 0, 0, 0, 0, 0}, counts(&r))
}
