package backends

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// TestPeakOfCallsInFlight guards against a load report that is compared with the calls in flight when it
// arrives, though these have ended since the server wrote it, and against a peak that does not expire.
func TestPeakOfCallsInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &Backend{}
		for range 7 {
			must.True(t, b.Begin(0))
		}
		time.Sleep(10 * time.Second)
		for range 6 {
			b.Settle(time.Now(), time.Second, CallGood)
		}
		time.Sleep(190 * time.Millisecond)
		b.SetLoad(Load{Running: 7, ReadAt: time.Now()})
		must.Eq(t, 7, b.Snapshot().PeakAtLoad)
		must.Eq(t, 1, b.Snapshot().InFlightAtLoad)
		time.Sleep(100 * time.Millisecond)
		b.SetLoad(Load{Running: 1, ReadAt: time.Now()})
		must.Eq(t, 1, b.Snapshot().PeakAtLoad)
	})
}

// TestPeakAfterTheClockWasSet guards against a peak that does not expire until a clock that was set
// back has caught up.
func TestPeakAfterTheClockWasSet(t *testing.T) {
	var p inFlightPeak
	now := time.Unix(100_000, 0)
	p.observe(now, 7)
	p.observe(now, 1)
	for _, change := range []time.Duration{-time.Hour, 2 * time.Hour} {
		now = now.Add(change)
		p.observe(now, 7)
		p.observe(now, 1)
		must.Eq(t, 7, p.highest(now.Add(200*time.Millisecond)))
		must.Eq(t, 1, p.highest(now.Add(250*time.Millisecond)))
	}
}
