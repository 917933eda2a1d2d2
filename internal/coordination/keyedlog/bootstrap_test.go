package keyedlog

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// countedStore counts the reads of all newest records.
type countedStore struct {
	*fakeStore
	newest int
}

func (s *countedStore) Newest(ctx context.Context, topic string) ([]Record, int64, error) {
	s.newest++
	return s.fakeStore.Newest(ctx, topic)
}

// newBootstrapFollower returns a follower that waits for peers before it reads the store.
func newBootstrapFollower(store Store, seen *view, relay Relay, wait time.Duration) *Follower {
	f := newFollower(store, seen, relay, false)
	began := time.Now()
	f.opts.PeerWait = func() time.Duration { return wait - time.Since(began) }
	return f
}

// TestBootstrapReadsSnapshotFromPeer: of a fleet that starts together only a few
// read the store. A key that was dropped is not among the records.
func TestBootstrapReadsSnapshotFromPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &countedStore{fakeStore: &fakeStore{}}
		store.put("kept", "1")
		store.put("dropped", "1")
		relay := fakeRelay{}
		leader := newFollower(store, &view{}, relay, true)
		must.NoError(t, leader.step(t.Context()))
		store.put("dropped", "")
		store.put("later", "2")
		must.NoError(t, leader.step(t.Context()))
		relay["leader"] = leader
		seen := &view{}
		f := newBootstrapFollower(store, seen, relay, time.Second)
		time.AfterFunc(300*time.Millisecond, func() { f.ObservePeer(leader.Applied(), "leader") })
		must.False(t, f.Loaded())
		must.NoError(t, f.step(t.Context()))
		must.True(t, f.Loaded())
		must.Eq(t, 1, store.newest)
		must.Eq(t, map[string]string{"kept": "1", "later": "2"}, seen.values)
		must.Eq(t, leader.Applied(), f.Applied())
		// It proves nothing by itself, and passes on what it has.
		must.Zero(t, f.ReadAt())
		page, err := f.Since(-1)
		must.NoError(t, err)
		must.Len(t, 2, page.Records)
	})
}

// TestBootstrapReadsStoreWithoutPeers: no peer, one that is down, and one that
// knows nothing itself.
func TestBootstrapReadsStoreWithoutPeers(t *testing.T) {
	for _, address := range []string{"", "down", "unknowing"} {
		synctest.Test(t, func(t *testing.T) {
			store := &countedStore{fakeStore: &fakeStore{}}
			store.put("k", "1")
			relay := fakeRelay{}
			relay["unknowing"] = newFollower(store, &view{}, relay, false)
			seen := &view{}
			f := newBootstrapFollower(store, seen, relay, time.Second)
			if address != "" {
				f.ObservePeer(7, address)
			}
			began := time.Now()
			must.NoError(t, f.step(t.Context()))
			must.Eq(t, 1, store.newest)
			must.Eq(t, map[string]string{"k": "1"}, seen.values)
			must.LessEq(t, 1100*time.Millisecond, time.Since(began))
		})
	}
}
