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
	// middle is the quantile that half of the times are above. A version that is
	// slower throughout, on servers with little load, shows there first.
	middle = 0.5
	// worseFactor is how much longer than the quantile a time must be. A version
	// that is bad is slower by several times; the factor leaves out what a server
	// that has just started, with empty caches and other neighbors, adds to its
	// times throughout.
	worseFactor = 1.25
	// leastCompared is the number of times from which the quantile is used.
	leastCompared = 12
	// pacedEvents is the number of events of a stream after which its pace is
	// known; shorter streams are judged at their end.
	pacedEvents = 4
)

// versionTimes holds what the baseline versions take.
type versionTimes struct {
	headers sync.Map // usualKey to *versionQuantiles
	paces   sync.Map // paceKey to *versionQuantiles
}

// versionQuantiles holds two quantiles of the times of one kind.
type versionQuantiles struct{ slow, middle *quantile.Tracker }

// paceKey names the streams whose paces are compared. The pace does not depend
// on the prompt.
type paceKey struct{ service, model string }

func timesOf(all *sync.Map, key any) *versionQuantiles {
	if found, ok := all.Load(key); ok {
		return found.(*versionQuantiles)
	}
	found, _ := all.LoadOrStore(key, &versionQuantiles{slow: quantile.New(slowQuantile), middle: quantile.New(middle)})
	return found.(*versionQuantiles)
}

// comparison is what one answer says of its version. It is told once: for a
// stream when its pace is known, otherwise with its header.
type comparison struct {
	timed, slow, above, told bool
	// headerAt is when the header had arrived, and events counts those after it.
	headerAt time.Time
	events   int
}

// compareTime compares a time with that of baseline versions.
func (a *attempt) compareTime(usual *versionQuantiles, took time.Duration) {
	compared := time.Duration(float64(took) / worseFactor)
	if slow, known := usual.slow.Above(compared, leastCompared); known {
		a.compared.timed = true
		a.compared.slow = a.compared.slow || slow
		// The pace, which is compared last, says more of a stream than its header.
		a.compared.above, _ = usual.middle.Above(compared, leastCompared)
	}
	if !a.gateway.Staging.IsCanary(a.req.service, a.version()) {
		usual.slow.Add(took)
		usual.middle.Add(took)
	}
}

// compareHeader notes the time to the header of a response, and tells of an
// answer that is not a stream.
func (a *attempt) compareHeader(took time.Duration) {
	a.compared.headerAt = a.began.Add(took)
	if a.reply.Status < http.StatusInternalServerError {
		a.compareTime(timesOf(&a.gateway.times.headers, a.req.usualKey(a.model)), took)
	}
	if a.verdict != deliver || a.req.route.Kind != routes.Stream {
		a.reportVersion()
	}
}

// noteEvent counts an event of a stream and tells of its pace once it is known.
func (a *attempt) noteEvent(now time.Time) {
	a.compared.events++
	if a.compared.events == pacedEvents {
		a.comparePace(now)
	}
}

// comparePace tells of a stream by the mean time between its events so far.
func (a *attempt) comparePace(now time.Time) {
	if a.compared.told {
		return
	}
	pace := now.Sub(a.compared.headerAt) / time.Duration(max(a.compared.events, 1))
	a.compareTime(timesOf(&a.gateway.times.paces, paceKey{a.req.service, a.model}), pace)
	a.reportVersion()
}

// reportVersion tells the roll-out of the service how the answer went, once.
func (a *attempt) reportVersion() {
	if a.compared.told {
		return
	}
	a.compared.told = true
	a.gateway.Staging.Observe(staging.Observation{
		Service:     a.req.service,
		Version:     a.version(),
		Failed:      a.reply.Status >= http.StatusInternalServerError,
		Timed:       a.compared.timed,
		Slow:        a.compared.slow,
		AboveMedian: a.compared.above,
	})
}
