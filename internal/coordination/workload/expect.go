package workload

import (
	"time"

	"medlarslip/internal/state/backends"
)

// Request describes one run of a request.
type Request struct {
	Service, Route, Model string
	// Stream is true if the answer is a stream of events, and Long for a prompt that shorter
	// ones should not queue behind.
	Stream, Long bool
	// Prefill is how long a server of reference speed takes to process the prompt, and
	// Shared the part of it that a warm prefix cache saves.
	Prefill, Shared time.Duration
	// Hint is the client's estimate of the length of the answer, and Limit the maximum
	// length; 0 if unknown.
	Hint, Limit int
}

// Expectation holds what one run of a request is expected to take at a server of reference
// speed.
type Expectation struct {
	Prefill, Shared time.Duration
	// Generation is the time from the first to the last event.
	Generation time.Duration
	// EventTime is the time of one event.
	EventTime time.Duration
	// Hold is the mean time that the requests of the service hold a slot.
	Hold time.Duration
	// PromptFactor is the factor from estimated to observed times of prompts; it applies to
	// outstanding prompts.
	PromptFactor float64
	// priorWeight is the weight of the prior speed of a server.
	priorWeight float64
	// stream is true if the answer is a stream, and errors holds the errors of earlier
	// predictions for such runs.
	stream bool
	errors *distributions
}

// Expect returns what a run of a request is expected to take.
func (e *Estimators) Expect(req *Request, now time.Time) *Expectation {
	s, key := e.of(req.Service), lengthKey{req.Route, req.Model}
	stated := e.statedLength(req.Service, key, now)
	s.mu.Lock()
	defer s.mu.Unlock()
	factor := s.promptFactor(req.Model)
	expected := &Expectation{
		Prefill: time.Duration(factor * float64(req.Prefill)), Shared: time.Duration(factor * float64(req.Shared)),
		PromptFactor: factor, priorWeight: s.variances.priorWeight(now),
		stream: req.Stream, errors: s.errors[errorKind(req)].distributions(now),
		Hold: time.Duration(s.hold.Value(now, holdHalfLife, float64(initialHold), initialHoldWeight)),
	}
	if req.Stream {
		mean, _ := s.lengths[key].expect(req.Hint, req.Limit, stated, now)
		expected.EventTime = s.eventTime(req.Model)
		expected.Generation = time.Duration(max(mean-1, 0) * float64(expected.EventTime))
	}
	return expected
}

// Times holds what one run of a request is expected to take at one server.
type Times struct {
	// Slowdown is how long work takes at the server, relative to the reference.
	Slowdown float64
	// Wait is the expected time to a free slot.
	Wait time.Duration
	// FirstEvent and End are the expected times to the first event, or to the header of an
	// answer that is no stream, and to the end.
	FirstEvent, End time.Duration
}

// At returns the expectation for a server with the given number of requests. A slot becomes
// free every Hold/slots on average.
func (x *Expectation) At(server *backends.Snapshot, requests float64, slots int, warm bool, now time.Time) Times {
	times := Times{Slowdown: slowdown(&server.Pace, &server.Load, x.priorWeight, now)}
	scale := func(d time.Duration) time.Duration { return time.Duration(times.Slowdown * float64(d)) }
	if over := requests + 1 - float64(slots); slots > 0 && over > 0 {
		times.Wait = scale(time.Duration(over * float64(x.Hold) / float64(slots)))
	}
	prompt := time.Duration(x.PromptFactor*float64(server.Prefill)) + x.Prefill + x.EventTime
	if warm {
		prompt -= x.Shared
	}
	times.FirstEvent = times.Wait + scale(prompt)
	times.End = times.FirstEvent + scale(x.Generation)
	return times
}
