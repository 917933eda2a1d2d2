package workload

import (
	"time"

	"medlarslip/internal/state/backends"
)

const (
	// headerWeight is the weight of a time to the header as an observation of the speed,
	// relative to that of several events: it varies more, with the state of the cache.
	headerWeight = 0.5
	// minHeaderPrefill is the expected time of a prompt from which its header is observed;
	// for shorter ones other work dominates.
	minHeaderPrefill = 10 * time.Millisecond
	// maxSharedPart is the share of a prompt up to which it is observed: for a larger one
	// the time depends on whether the cache was warm.
	maxSharedPart = 0.35
	// maxOutstanding is the outstanding time of prompts up to which a server has no queue
	// of them.
	maxOutstanding = 5 * time.Millisecond
)

// ObserveHeader records the time from sending a request to the header of its answer, at a
// server that was in the given state when it was chosen. Servers with a queue are
// ignored, since their times do not depend on their speed alone.
func (e *Estimators) ObserveHeader(req *Request, server *backends.Backend, before *backends.Snapshot, took time.Duration, now time.Time) {
	full := before.Load.Slots > 0 && before.Load.Running >= before.Load.Slots
	if req.Prefill < minHeaderPrefill || took <= 0 || float64(req.Shared) > maxSharedPart*float64(req.Prefill) ||
		before.Load.Waiting > 0 || before.Prefill > maxOutstanding || full {
		return
	}
	s := e.of(req.Service)
	key := referenceKey{model: req.Model, header: true, busy: busyClass(before.Load.Running, before.Load.Slots)}
	s.mu.Lock()
	logRatio, known := s.ratio(key, float64(took)/float64(req.Prefill))
	s.mu.Unlock()
	if known {
		s.observeRatio(server, logRatio, headerWeight, now)
	}
}

// ObserveEvents records the mean time between events of a stream.
func (e *Estimators) ObserveEvents(req *Request, server *backends.Backend, interval time.Duration, now time.Time) {
	if interval <= 0 {
		return
	}
	_, load := server.Pace()
	s := e.of(req.Service)
	key := referenceKey{model: req.Model, busy: busyClass(load.Running, load.Slots)}
	s.mu.Lock()
	logRatio, known := s.ratio(key, float64(interval))
	s.mu.Unlock()
	if known {
		s.observeRatio(server, logRatio, 1, now)
	}
}

// ObserveLength records the number of events of a complete stream.
func (e *Estimators) ObserveLength(req *Request, events int, now time.Time) {
	s := e.of(req.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	if found := lookup(s.lengths, lengthKey{req.Route, req.Model}); found != nil {
		found.add(now, req.Hint, events)
	}
}

// ObserveHold records how long a request held a slot of a server: the time after the header,
// and the time to the header without that in a queue.
func (e *Estimators) ObserveHold(req *Request, server *backends.Backend, toHeader, afterHeader time.Duration, now time.Time) {
	pace, load := server.Pace()
	s := e.of(req.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	slowdown := slowdown(&pace, &load, s.variances.priorWeight(now), now)
	held := float64(afterHeader)/slowdown + min(float64(toHeader)/slowdown, float64(req.Prefill+initialEventTime))
	s.hold = s.hold.Add(now, holdHalfLife, held)
}
