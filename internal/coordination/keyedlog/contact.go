package keyedlog

import "medlarslip/internal/boottime"

// RegainedAt returns when the store answered again after an outage; 0 if there
// was none.
func (f *Follower) RegainedAt() boottime.Instant { return boottime.Instant(f.regainedAt.Load()) }

// Lost reports whether the store does not answer.
func (f *Follower) Lost() bool { return f.lost.Load() }

// ObserveReached notes that the store answered a peer at a moment.
func (f *Follower) ObserveReached(at boottime.Instant) { raise(&f.reachedAt, int64(at)) }

// ReachedSince reports whether the store is known to have answered a peer since it last
// failed to answer this instance: what Lost reports may be out of date.
func (f *Follower) ReachedSince() bool { return f.reachedAt.Load() > f.failedAt.Load() }

func (f *Follower) markRegained() {
	f.probes = 0
	if !f.lost.Swap(false) {
		return
	}
	f.regainedAt.Store(int64(f.opts.Clock()))
	f.opts.Changed()
	if f.opts.Regained != nil {
		f.opts.Regained()
	}
	f.opts.Log.WithField("event", "store_regained").Info("store answers again")
}

func (f *Follower) markLost(err error) {
	f.failedAt.Store(int64(f.opts.Clock()))
	if f.lost.Swap(true) {
		return
	}
	f.opts.Changed()
	f.opts.Log.WithError(err).WithField("event", "store_lost").Warn("store does not answer")
}
