package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"medlarslip/internal/coordination/rollout"
	"medlarslip/internal/coordination/staging"
	"medlarslip/internal/protocol/routes"
)

// minStreamEvents is the number of events after which the mean time between
// the events of a stream is compared; shorter streams are compared at
// their end.
const minStreamEvents = 4

// versionTimes holds the response times of the baseline versions.
type versionTimes struct {
	headers        sync.Map // timingKey to *rollout.BaselineTimes
	eventIntervals sync.Map // streamKey to *rollout.BaselineTimes
}

// streamKey identifies the streams whose event intervals are comparable. These
// do not depend on the prompt.
type streamKey struct{ service, model string }

func timesOf(all *sync.Map, key any) *rollout.BaselineTimes {
	if found, ok := all.Load(key); ok {
		return found.(*rollout.BaselineTimes)
	}
	found, _ := all.LoadOrStore(key, rollout.NewBaselineTimes())
	return found.(*rollout.BaselineTimes)
}

// comparison is what is observed of a version by one response. It is reported
// once: for a stream when its event interval is known, otherwise when the header
// has arrived.
type comparison struct {
	timed, slow, aboveMedian, reported bool
	// failed is true once a failure was reported.
	failed bool
	// headerAt is the arrival time of the header, and events counts the events
	// since then.
	headerAt time.Time
	events   int
}

// compareTime compares a time with the quantiles of the baseline. The times of
// the baseline versions are added to the quantiles, but for those while a trial leaves them less load.
func (a *attempt) compareTime(baseline *rollout.BaselineTimes, took time.Duration, cacheFactor float64) {
	a.compareOnly(baseline, took, cacheFactor)
	if staging := a.gateway.Staging; staging.IsBaseline(a.req.service, a.version()) && !staging.AtFullLoad(a.req.service) {
		baseline.Add(took)
	}
}

// compareOnly compares a time with the quantiles of the baseline.
func (a *attempt) compareOnly(baseline *rollout.BaselineTimes, took time.Duration, cacheFactor float64) {
	compare := baseline.Compare
	if a.gateway.Staging.AtFullLoad(a.req.service) {
		compare = baseline.CompareFixed
	}
	if slow, aboveMedian, known := compare(took, cacheFactor); known {
		a.compared.timed = true
		a.compared.slow = a.compared.slow || slow
		// The last comparison counts: for a stream the event interval says more
		// than the time to the header.
		a.compared.aboveMedian = aboveMedian
	}
}

// compareHeader compares the time to the header of a response, and reports
// responses that are no streams.
func (a *attempt) compareHeader(took time.Duration) {
	a.compared.headerAt = a.began.Add(took)
	if isSuccess(a.reply.Status) {
		a.compareTime(timesOf(&a.gateway.versionTimes.headers, a.req.timingKey(a.model)), took, a.req.cacheFactor())
	}
	if a.verdict != deliver || a.req.route.Kind != routes.Stream {
		a.reportVersion()
	}
}

// recordEvent counts an event of a stream, and compares the event interval after
// minStreamEvents of them.
func (a *attempt) recordEvent(now time.Time) {
	a.compared.events++
	if a.compared.events == minStreamEvents {
		a.compareEventInterval(now)
	}
}

// compareEventInterval compares the mean time between the events of a stream so
// far, and reports the stream.
func (a *attempt) compareEventInterval(now time.Time) {
	if a.compared.reported {
		return
	}
	pace := now.Sub(a.compared.headerAt) / time.Duration(max(a.compared.events, 1))
	a.compareTime(timesOf(&a.gateway.versionTimes.eventIntervals, streamKey{a.req.service, a.model}), pace, 1)
	a.reportVersion()
}

// reportVersion reports the observation of the response to the rollout of the
// service, once.
func (a *attempt) reportVersion() {
	if a.compared.reported {
		return
	}
	if isClientError(a.reply.Status) && a.gateway.clientErrors.repeated(a.req.session, a.version(), time.Now()) {
		a.compared.reported, a.compared.failed = true, true
		return
	}
	a.report(!isSuccess(a.reply.Status))
}

// report reports what was observed of the version.
func (a *attempt) report(failed bool) {
	a.compared.reported, a.compared.failed = true, failed
	a.gateway.Staging.Observe(staging.Observation{
		Service:     a.req.service,
		Version:     a.version(),
		Failed:      failed,
		Timed:       a.compared.timed,
		Slow:        a.compared.slow,
		AboveMedian: a.compared.aboveMedian,
	})
}

// failure returns the observation of an attempt that has failed after its response was
// judged, or that got none; nil if a failure was reported before.
func (a *attempt) failure() *staging.Observation {
	if a.compared.failed {
		return nil
	}
	observation := &staging.Observation{Service: a.req.service, Version: a.version(), Failed: true, Counted: a.compared.reported}
	a.compared.reported, a.compared.failed = true, true
	return observation
}

// reportFailure reports a failure to the rollout of the service.
func (a *attempt) reportFailure() {
	if observation := a.failure(); observation != nil {
		a.gateway.Staging.Observe(*observation)
	}
}

// reportOverdue reports an attempt that was ended since it took too long. Without a whole
// response at the deadline of the request it has failed, but a stream that goes on is only
// slow. The time of an attempt that the watchdog gave up before its header is a lower bound.
// An attempt whose client has left says nothing about the version.
func (a *attempt) reportOverdue() {
	expired := errors.Is(context.Cause(a.ctx), errRequestExpired)
	begun := !a.compared.headerAt.IsZero()
	switch {
	case expired && begun && a.streams():
		a.compareEventInterval(time.Now())
	case expired, begun && a.timedOut.Load():
		a.reportFailure()
	case a.timedOut.Load():
		a.reportLateHeader()
	}
}

// reportLateHeader reports an attempt that was given up before the header of its response
// arrived.
func (a *attempt) reportLateHeader() {
	a.compareOnly(timesOf(&a.gateway.versionTimes.headers, a.req.timingKey(a.model)), time.Since(a.began), 1)
	if a.compared.timed {
		a.report(false)
	} else {
		a.reportFailure()
	}
}
