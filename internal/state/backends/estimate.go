package backends

import (
	"math"
	"time"
)

// LoadModel holds the parameters of an estimate of the number of requests at a server.
type LoadModel struct {
	// HalfLife is the age at which a load report has half of its weight.
	HalfLife time.Duration
	// WaitingWeight is the weight of a waiting request relative to a running one.
	WaitingWeight float64
	// Senders is the number of requests that all instances are taken to have begun since the
	// report for each one that this instance has begun.
	Senders float64
	// Alone is true if no other instance is known that sends requests to the server.
	Alone bool
	// Fallback is the estimate without a report, towards which the estimate moves as the
	// report ages.
	Fallback float64
}

// Reported returns the number of requests at the server by its latest report, corrected by the
// requests that this instance began and ended since.
//
// An instance that is alone knows its own requests; of the report it counts only what these cannot
// explain, such as requests of a former run of the instance. A report is up to 200 ms old when it arrives,
// several times the duration of a short run: the correction would take a server for full that has
// become idle.
func (s *Snapshot) Reported(waitingWeight float64, alone bool) float64 {
	return reported(&s.Load, s.InFlight, s.InFlightAtLoad, s.PeakAtLoad, waitingWeight, alone)
}

func reported(load *Load, inFlight, inFlightAtLoad, peakAtLoad int, waitingWeight float64, alone bool) float64 {
	own := inFlightAtLoad
	if alone {
		own = max(own, peakAtLoad)
	}
	return float64(inFlight) + max(float64(load.Running)+waitingWeight*float64(load.Waiting)-float64(own), 0)
}

// ReportedPerSlot returns Reported with a waiting weight of 1, per slot of the server; 0 if it has sent
// no report. The estimate as the report ages is not lower unless the mean over the service is.
func (s *Snapshot) ReportedPerSlot(alone bool) float64 {
	if s.Load.Slots <= 0 || s.Load.ReadAt.IsZero() {
		return 0
	}
	return s.Reported(1, alone) / float64(s.Load.Slots)
}

// ReportedPerSlot is that of a snapshot, without a copy of the state.
func (b *Backend) ReportedPerSlot(alone bool) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.load.Slots <= 0 || b.load.ReadAt.IsZero() {
		return 0
	}
	return reported(&b.load, b.inFlight, b.inFlightAtLoad, b.peakAtLoad, 1, alone) / float64(b.load.Slots)
}

// EstimateLoad estimates the number of requests at the server.
func (s *Snapshot) EstimateLoad(m *LoadModel, now time.Time) float64 {
	if s.Load.ReadAt.IsZero() {
		return m.Fallback
	}
	estimate := s.Reported(m.WaitingWeight, m.Alone)
	if since := s.InFlight - s.InFlightAtLoad; since > 0 && m.Senders > 1 {
		// Others that read a similar report have sent requests there too.
		estimate += float64(since) * (m.Senders - 1)
	}
	age := max(now.Sub(s.Load.ReadAt), 0)
	trust := math.Exp2(-float64(age) / float64(m.HalfLife))
	return trust*estimate + (1-trust)*m.Fallback
}
