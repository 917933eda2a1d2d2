package gateway

import (
	"net/http"
	"sync"
	"time"

	"medlarslip/internal/coordination/staging"
	"medlarslip/internal/protocol/routes"
	"medlarslip/internal/state/quantile"
)

const (
	// slowQuantile is the quantile of the times of the versions that are not on
	// trial by which an answer counts as slow. Both versions are counted by
	// the same one, so that what slows all servers makes neither look worse.
	slowQuantile = 0.9
	// medianQuantile is the quantile that half of the times are above. A version that is
	// slower throughout, on servers with little load, shows there first.
	medianQuantile = 0.5
	// worseFactor is how much longer than the quantile a time must be. A version
	// that is bad is slower by several times; the factor leaves out what a server
	// that has just started, with empty caches and other neighbors, adds to its
	// times throughout.
	worseFactor = 1.25
	// minCompared is the number of times from which the quantile is used.
	minCompared = 12
	// minStreamEvents is the number of events of a stream after which its pace is
	// known; shorter streams are judged at their end.
	minStreamEvents = 4
)

// versionTimes holds what the baseline versions take.
type versionTimes struct {
	headers        sync.Map // timingKey to *versionQuantiles
	eventIntervals sync.Map // streamKey to *versionQuantiles
}

// versionQuantiles holds two quantiles of the times of one kind.
type versionQuantiles struct{ slow, median *quantile.Tracker }

// streamKey names the streams whose paces are compared. The pace does not depend
// on the prompt.
type streamKey struct{ service, model string }

func timesOf(all *sync.Map, key any) *versionQuantiles {
	if found, ok := all.Load(key); ok {
		return found.(*versionQuantiles)
	}
	found, _ := all.LoadOrStore(key, &versionQuantiles{slow: quantile.New(slowQuantile), median: quantile.New(medianQuantile)})
	return found.(*versionQuantiles)
}

// comparison is what one answer says of its version. It is told once: for a
// stream when its pace is known, otherwise with its header.
type comparison struct {
	timed, slow, aboveMedian, reported bool
	// headerAt is when the header had arrived, and events counts those after it.
	headerAt time.Time
	events   int
}

// compareTime compares a time with that of baseline versions.
func (a *attempt) compareTime(usual *versionQuantiles, took time.Duration) {
	compared := time.Duration(float64(took) / worseFactor)
	if slow, known := usual.slow.Above(compared, minCompared); known {
		a.compared.timed = true
		a.compared.slow = a.compared.slow || slow
		// The pace, which is compared last, says more of a stream than its header.
		a.compared.aboveMedian, _ = usual.median.Above(compared, minCompared)
	}
	if !a.gateway.Staging.IsCanary(a.req.service, a.version()) {
		usual.slow.Add(took)
		usual.median.Add(took)
	}
}

// compareHeader notes the time to the header of a response, and tells of an
// answer that is not a stream.
func (a *attempt) compareHeader(took time.Duration) {
	a.compared.headerAt = a.began.Add(took)
	if a.reply.Status < http.StatusInternalServerError {
		a.compareTime(timesOf(&a.gateway.versionTimes.headers, a.req.timingKey(a.model)), took)
	}
	if a.verdict != deliver || a.req.route.Kind != routes.Stream {
		a.reportVersion()
	}
}

// recordEvent counts an event of a stream and tells of its pace once it is known.
func (a *attempt) recordEvent(now time.Time) {
	a.compared.events++
	if a.compared.events == minStreamEvents {
		a.compareEventInterval(now)
	}
}

// compareEventInterval tells of a stream by the mean time between its events so far.
func (a *attempt) compareEventInterval(now time.Time) {
	if a.compared.reported {
		return
	}
	pace := now.Sub(a.compared.headerAt) / time.Duration(max(a.compared.events, 1))
	a.compareTime(timesOf(&a.gateway.versionTimes.eventIntervals, streamKey{a.req.service, a.model}), pace)
	a.reportVersion()
}

// reportVersion tells the roll-out of the service how the answer went, once.
func (a *attempt) reportVersion() {
	if a.compared.reported {
		return
	}
	a.compared.reported = true
	a.gateway.Staging.Observe(staging.Observation{
		Service:     a.req.service,
		Version:     a.version(),
		Failed:      a.reply.Status >= http.StatusInternalServerError,
		Timed:       a.compared.timed,
		Slow:        a.compared.slow,
		AboveMedian: a.compared.aboveMedian,
	})
}
