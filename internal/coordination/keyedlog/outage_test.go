package keyedlog

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// silentStore does not answer calls that are made before a moment; these end by their
// timeout.
type silentStore struct {
	*fakeStore
	until time.Time
	// latency is the time that an answer takes after that moment.
	latency time.Duration
}

// callTimeout is the timeout of a store call beyond its wait.
const callTimeout = 1500 * time.Millisecond

func (s *silentStore) Read(ctx context.Context, topic string, from int64, wait time.Duration) (*Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	if time.Now().Before(s.until) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(s.latency):
	}
	page, err := s.fakeStore.Read(ctx, topic, from, 0)
	time.Sleep(wait)
	return page, err
}

// run runs a follower until ctx ends, and then closes the returned channel.
func run(ctx context.Context, f *Follower) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = f.Run(ctx)
	}()
	return done
}

// TestStoreThatWasSilentIsRegainedSoon: at whichever moment the store returns, probers
// detect it within one probe and one pause.
func TestStoreThatWasSilentIsRegainedSoon(t *testing.T) {
	const longest = probeTimeout + maxBackoff + 100*time.Millisecond
	late := 0
	for step := range time.Duration(40) {
		synctest.Test(t, func(t *testing.T) {
			returnsAt := time.Now().Add(8*time.Second + step*100*time.Millisecond)
			store := &silentStore{fakeStore: &fakeStore{}, latency: 4 * time.Millisecond}
			f := newFollower(store, &view{}, fakeRelay{}, true)
			f.opts.Wait = 800 * time.Millisecond
			must.NoError(t, f.step(t.Context()))
			store.until = returnsAt
			ctx, cancel := context.WithCancel(t.Context())
			done := run(ctx, f)
			time.Sleep(time.Until(returnsAt) + longest)
			if f.Lost() {
				late++
			}
			time.Sleep(callTimeout)
			must.False(t, f.Lost())
			cancel()
			<-done
		})
	}
	// Only a probe with the full timeout detects the return late.
	t.Logf("detected late in %d of 40 outages", late)
	must.LessEq(t, 40/3, late)
}

// TestSlowStoreIsRegained: a store whose latency exceeds the timeout of a probe does
// not remain lost.
func TestSlowStoreIsRegained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &silentStore{fakeStore: &fakeStore{}, latency: 2 * probeTimeout}
		f := newFollower(store, &view{}, fakeRelay{}, true)
		must.NoError(t, f.step(t.Context()))
		store.until = time.Now().Add(3 * time.Second)
		ctx, cancel := context.WithCancel(t.Context())
		done := run(ctx, f)
		time.Sleep(10 * time.Second)
		must.False(t, f.RegainedAt() == 0)
		cancel()
		<-done
	})
}
