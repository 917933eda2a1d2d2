package keyedlog

import (
	"context"
	"time"
)

// bootstrapPollInterval is the time between two checks whether the bootstrap should
// still wait for a peer.
const bootstrapPollInterval = 20 * time.Millisecond

// bootstrap loads the newest record of every key from a peer, or from the store if no
// peer relays them in time.
func (f *Follower) bootstrap(ctx context.Context) error {
	for f.opts.PeerWait != nil && f.opts.PeerWait() > 0 && ctx.Err() == nil {
		select {
		case address := <-f.ahead:
			if f.bootstrapFromPeer(ctx, address) {
				return nil
			}
		case <-time.After(bootstrapPollInterval):
		case <-ctx.Done():
		}
	}
	if f.opts.PeerWait != nil && !f.Loaded() {
		select {
		case address := <-f.ahead:
			if f.bootstrapFromPeer(ctx, address) {
				return nil
			}
		default:
		}
	}
	return f.readNewest(ctx)
}

// bootstrapFromPeer reports whether a peer relayed a snapshot.
func (f *Follower) bootstrapFromPeer(ctx context.Context, address string) bool {
	err := f.fetchFromPeer(ctx, address)
	if err != nil {
		f.opts.Log.WithError(err).WithField("event", "relay_failed").WithField("peer", address).Info("peer did not relay a snapshot; asking another peer or the store")
		return false
	}
	f.fromPeer.Store(true)
	return true
}

// readNewest reads a snapshot from the store and restarts from it.
func (f *Follower) readNewest(ctx context.Context) error {
	began := f.opts.Clock()
	p, err := f.opts.Store.Newest(ctx, f.opts.Topic)
	if err != nil {
		return err
	}
	f.markRegained()
	if err := f.observeEra(p.Era); err != nil {
		return err
	}
	first := !f.Loaded()
	f.restart(p.Records, p.Next)
	f.advance(p.Next, p.Next, began)
	if first {
		// Peers that start at the same time wait for the snapshot.
		f.opts.Changed()
	}
	return nil
}
