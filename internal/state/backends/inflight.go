package backends

import "time"

const (
	// peakBuckets and peakBucketTime give the time over which the highest number of calls in flight
	// is kept. Load reports are 100 to 200 ms old when they arrive.
	peakBuckets    = 5
	peakBucketTime = 50 * time.Millisecond
)

// inFlightPeak holds the highest number of calls in flight of the last 200 to 250 ms.
type inFlightPeak struct {
	current int64
	// last is the latest number, which lasts until the next one.
	last  int
	peaks [peakBuckets]int
}

// observe records the number of calls in flight.
func (p *inFlightPeak) observe(now time.Time, inFlight int) {
	p.advance(now)
	p.last = inFlight
	bucket := &p.peaks[p.current%peakBuckets]
	*bucket = max(*bucket, inFlight)
}

// highest returns the highest recent number.
func (p *inFlightPeak) highest(now time.Time) int {
	p.advance(now)
	highest := 0
	for _, peak := range p.peaks {
		highest = max(highest, peak)
	}
	return highest
}

func (p *inFlightPeak) advance(now time.Time) {
	bucket := now.UnixNano() / int64(peakBucketTime)
	if ahead := bucket - p.current; ahead > peakBuckets || ahead < -peakBuckets {
		// A clock that was set back would otherwise keep the peak until it has caught up.
		p.current = bucket - peakBuckets
	}
	for p.current < bucket {
		p.current++
		p.peaks[p.current%peakBuckets] = p.last
	}
}
