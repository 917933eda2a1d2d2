package keyedlog

import (
	"context"
	"time"

	"medlarslip/internal/pause"
)

// lateMargin is the time beyond the wait of a read after which the store is
// considered lost, so that another instance becomes leader: many times the latency
// of an answer.
const lateMargin = 400 * time.Millisecond

// standbyFactor is the factor by which reads are less frequent on standby. Changes
// that the leader misses are still applied within the time limit for withdrawn
// backend servers.
const standbyFactor = 2

func (f *Follower) readInterval(interval time.Duration) time.Duration {
	if f.opts.Standby != nil && f.opts.Standby() {
		return standbyFactor * interval
	}
	return interval
}

// readWait returns how long the next read waits for a change. After a restore, and after a
// bootstrap from a peer, the first read that can prove the records follows at once. Only the
// records of a reader with revisions need proofs.
func (f *Follower) readWait() time.Duration {
	wait := f.readInterval(f.opts.Wait)
	left := f.untilSettled()
	switch {
	case left > 0:
		return min(wait, left)
	case f.fromPeer.Load() && f.opts.ProvesLate != nil && f.opts.ProvesLate():
		return wait
	case f.opts.Revisions != nil && f.ownProof.Load() == nil && f.complete(f.opts.Clock()):
		return 0
	}
	return wait
}

// readStore makes one read from the store.
func (f *Follower) readStore(ctx context.Context, wait time.Duration) error {
	began := f.opts.Clock()
	late := time.AfterFunc(wait+lateMargin, func() { f.markLost(errLate) })
	p, err := f.opts.Store.Read(ctx, f.opts.Topic, f.next, wait)
	late.Stop()
	if err != nil {
		return err
	}
	f.markRegained()
	if err := f.observeEra(p.Era); err != nil || f.next < 0 {
		// In a new era, the next step reads a snapshot.
		return err
	}
	f.apply(p.Records, p.Next)
	f.advance(p.Next, p.End, began)
	if len(p.Records) > 0 {
		f.opts.Changed()
		pause.For(ctx, f.readInterval(f.opts.MinReadInterval)-f.opts.Clock().Since(began))
	}
	return nil
}
