package keyedlog

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// initialBackoff is the pause after a failed call of the store.
	initialBackoff = 100 * time.Millisecond
	// maxBackoff bounds that pause, so that contact is regained quickly.
	maxBackoff = 400 * time.Millisecond
	// probeTimeout bounds the wait for the answer to a probe: many times what one
	// takes. A call that was made while the store was away is never answered.
	probeTimeout = 400 * time.Millisecond
	// fullProbeEvery is the number of probes of which one waits as long as any call,
	// for a store that answers, but slowly.
	fullProbeEvery = 6
	// passiveBackoff is the mean pause of instances that can rely on others to find
	// out, since every call has its price and many instances make many calls.
	passiveBackoff = 8 * time.Second
	// passiveJitter is the part by which that pause varies, so that instances do
	// not call at the same moment.
	passiveJitter = 0.25
)

// probe finds out whether a store that was lost answers again.
func (f *Follower) probe(ctx context.Context) error {
	f.probes++
	if f.probes%fullProbeEvery == 0 {
		return f.readStore(ctx, 0)
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return f.readStore(ctx, 0)
}

// pauseAfterFailure returns the pause after a failed call. Before the first read
// nobody else can help.
func (f *Follower) pauseAfterFailure(backoff time.Duration) time.Duration {
	if f.opts.Probes() || f.next < 0 {
		return backoff
	}
	return time.Duration((1 + passiveJitter*(2*rand.Float64()-1)) * float64(passiveBackoff))
}

// backOff waits after a failed call, and meanwhile takes what peers have taken. It
// ends early where nobody else helps: this instance has become one that finds
// out first, or a peer is ahead and does not have the records any more.
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

// fetchDuringBackoff reports whether a peer that is ahead passed on its records.
func (f *Follower) fetchDuringBackoff(ctx context.Context, address string) bool {
	err := f.fetchFromPeer(ctx, address)
	if err != nil {
		f.opts.Log.WithError(err).WithField("event", "relay_failed").WithField("peer", address).Info("a peer did not pass on records")
	}
	return err == nil
}
