package backends

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"medlarslip/internal/state/decay"
)

// Pace is what an instance knows of the speed of one run of a server. Its size is fixed. Package
// workload defines the values and their half-lives.
type Pace struct {
	// Slowdown is the mean of the natural logarithm of the time that work takes at the
	// server, relative to the reference of its service, as this instance observed it.
	Slowdown decay.Mean
	// Stated is the same as observed by other instances.
	Stated decay.Mean
	// ReportTrust is the mean share, 0 to 1, of the slowness reported by the server that
	// was observed.
	ReportTrust decay.Mean
}

// paceStatements holds the statements of other instances about the speed of a server.
type paceStatements struct {
	decay.Statements
	// started identifies the run of the server's process; 0 if unknown.
	started uint16
}

// UpdatePace replaces the pace by the result of update, which must not use the server. A new
// run of the server resets the pace.
func (b *Backend) UpdatePace(update func(pace Pace, load *Load) Pace) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pace = update(b.pace, &b.load)
}

// Pace returns the observed pace and the latest load report.
func (b *Backend) Pace() (Pace, Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pace, b.load
}

// resetPace discards what is known of the speed of a former run of the server.
func (b *Backend) resetPace() { b.pace, b.stated = Pace{}, paceStatements{} }

// UpdateStatements calls update with the statements about the current run of the server, and
// takes their total as the stated pace. It does nothing if started, unless 0, identifies another
// run. update receives the observations of this instance and the run that they and the
// statements are about: 0 if unknown.
func (b *Backend) UpdateStatements(started uint16, now time.Time, halfLife time.Duration, update func(s *decay.Statements, own decay.Mean, run uint16)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if started != 0 && b.load.Started != 0 && started != b.load.Started {
		return
	}
	if started != 0 && b.stated.started != 0 && started != b.stated.started {
		// Without a report of the server it is not known which run is the present one.
		b.pace.Stated, b.stated = decay.Mean{}, paceStatements{}
	}
	if started != 0 {
		b.stated.started = started
	}
	run := b.load.Started
	if run == 0 {
		// Statements of others may be about a run of which this instance has no report.
		run = b.stated.started
	}
	update(&b.stated.Statements, b.pace.Slowdown, run)
	b.pace.Stated = b.stated.Total(now, halfLife).Mean()
}

// RunKey identifies a server and its incarnation in the statements of instances.
func (s *Server) RunKey() uint32 {
	return uint32(xxhash.Sum64String(s.ID + "\x00" + s.Incarnation))
}

// ByRunKey returns the server with the given key, or nil.
func (t *Table) ByRunKey(key uint32) *Backend { return (*t.byRunKey.Load())[key] }
