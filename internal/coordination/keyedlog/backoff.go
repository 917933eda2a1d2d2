package keyedlog

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// initialBackoff is the pause after the first failed call to the store.
	initialBackoff = 100 * time.Millisecond
	// maxBackoff is the maximum pause after a failed call, short so that contact is
	// regained quickly.
	maxBackoff = 400 * time.Millisecond
	// probeTimeout is the timeout of a probe: many times the latency of an answer. A
	// call that is made during an outage is never answered, even after its end.
	probeTimeout = 400 * time.Millisecond
	// fullProbeEvery is the number of probes of which one has the full timeout of a
	// read, to detect a store that answers slowly.
	fullProbeEvery = 6
	// passiveBackoff is the mean pause of instances that rely on others to detect the
	// end of an outage. It is long since calls have a cost that grows with the
	// number of instances that make them.
	passiveBackoff = 8 * time.Second
	// passiveJitter is the share by which that pause varies, so that instances do not
	// call at the same moment.
	passiveJitter = 0.25
)

// probe checks whether a lost store answers again.
func (f *Follower) probe(ctx context.Context) error {
	f.probes++
	if f.probes%fullProbeEvery == 0 {
		return f.readStore(ctx, 0)
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return f.readStore(ctx, 0)
}

// pauseAfterFailure returns the pause after a failed call. While it needs a snapshot,
// the instance can't rely on others and uses the short backoff.
func (f *Follower) pauseAfterFailure(backoff time.Duration) time.Duration {
	if f.opts.Probes() || f.next < 0 {
		return backoff
	}
	return time.Duration((1 + passiveJitter*(2*rand.Float64()-1)) * float64(passiveBackoff))
}

// backOff waits after a failed call, and meanwhile fetches records from peers that
// are ahead. It returns early, but not before maxBackoff, if the instance has become
// a prober, or if a peer that is ahead can't relay the records.
func (f *Follower) backOff(ctx context.Context, wait time.Duration) {
	began := time.Now()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	retrySoon := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-f.wake:
			retrySoon = retrySoon || f.opts.Probes()
		case address := <-f.ahead:
			retrySoon = !f.fetchDuringBackoff(ctx, address) || retrySoon
		}
		if retrySoon && time.Since(began) >= maxBackoff {
			return
		}
	}
}

// fetchDuringBackoff reports whether a peer that is ahead relayed its records.
func (f *Follower) fetchDuringBackoff(ctx context.Context, address string) bool {
	err := f.fetchFromPeer(ctx, address)
	if err != nil {
		f.opts.Log.WithError(err).WithField("event", "relay_failed").WithField("peer", address).Info("peer did not relay records; waiting for the store or another peer")
	}
	return err == nil
}
