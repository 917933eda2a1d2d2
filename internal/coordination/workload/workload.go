// Package workload estimates how long a request takes at a backend server. It learns from
// the traffic that passes: reference times by service and model, the speed of each server
// relative to them, the length of answers by route, and the time that a request holds a
// slot. It has no network access; callers pass the time.
package workload

import (
	"sync"
	"sync/atomic"
	"time"

	"medlarslip/internal/boottime"
	"medlarslip/internal/state/decay"
)

const (
	// initialHold is the time that a request holds a slot while none was observed, and
	// initialHoldWeight its weight in requests. A trial with this time as a constant chose
	// well; the weight keeps the first short answers from replacing it.
	initialHold       = 2500 * time.Millisecond
	initialHoldWeight = 20
	// holdHalfLife is the age at which an observed time has half of its weight: a change of
	// the demand lasts 6 to 11 s.
	holdHalfLife = 10 * time.Second
	// maxKeys bounds the models, and the pairs of route and model, that are kept for a
	// service. Further ones use the estimates of a key without observations.
	maxKeys = 256
)

// Estimators holds what was learned about each service. The zero value is ready to use. It
// is safe for concurrent use.
type Estimators struct {
	byService sync.Map // service name to *service
	stated    statedLengths
}

// statedLengths holds what other instances state about lengths, by ID.
type statedLengths struct {
	mu      sync.Mutex
	lengths map[uint32]*decay.Statements
}

// service holds what was learned about one service.
type service struct {
	// slownessAt is when a server of the service last reported its slowness, as a
	// boottime.Instant; 0 if none has.
	slownessAt atomic.Int64
	mu         sync.Mutex
	references map[referenceKey]*reference
	lengths    map[lengthKey]*lengths
	hold       decay.Mean
	variances  variances
	errors     [errorKinds]predictionErrors
	sizes      Sizes
}

func (e *Estimators) of(name string) *service {
	if found, ok := e.byService.Load(name); ok {
		return found.(*service)
	}
	found, _ := e.byService.LoadOrStore(name, &service{references: map[referenceKey]*reference{}, lengths: map[lengthKey]*lengths{}})
	return found.(*service)
}

// RecordReport records that a server of the service has reported the given slowness.
func (e *Estimators) RecordReport(service string, slowness float64, now boottime.Instant) {
	if slowness > 0 {
		e.of(service).slownessAt.Store(int64(now))
	}
}

// AnyReportsSlowness reports whether ReportsSlowness holds for any service.
func (e *Estimators) AnyReportsSlowness(clock func() boottime.Instant) bool {
	found := false
	e.byService.Range(func(_, value any) bool {
		found = value.(*service).reportsSlowness(clock)
		return !found
	})
	return found
}

// ReportsSlowness reports whether a server of the service has reported its slowness within
// byCostLife. The clock, a system call, is read only if one has ever done so.
func (e *Estimators) ReportsSlowness(service string, clock func() boottime.Instant) bool {
	return e.of(service).reportsSlowness(clock)
}

func (s *service) reportsSlowness(clock func() boottime.Instant) bool {
	at := s.slownessAt.Load()
	return at != 0 && clock().Since(boottime.Instant(at)) < byCostLife
}

// lookup returns the value of a key, and adds one unless maxKeys are known; nil then.
func lookup[K comparable, V any](all map[K]*V, key K) *V {
	found, ok := all[key]
	if !ok && len(all) < maxKeys {
		found = new(V)
		all[key] = found
	}
	return found
}
