package keyedlog

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// silentStore answers nothing until a moment: a call that was made before is never
// answered and ends with its time.
type silentStore struct {
	*fakeStore
	until time.Time
	// takes is how long an answer takes after that.
	takes time.Duration
}

// callTimeout is the time that a caller of the store allows beyond the wait.
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
	case <-time.After(s.takes):
	}
	page, err := s.fakeStore.Read(ctx, topic, from, 0)
	time.Sleep(wait)
	return page, err
}

// run follows until ctx ends, and closes the channel that it returns then.
func run(ctx context.Context, f *Follower) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = f.Run(ctx)
	}()
	return done
}

// TestStoreThatWasSilentIsRegainedSoon: whatever the moment at which the store
// comes back, those that find out first know within a call and a pause.
func TestStoreThatWasSilentIsRegainedSoon(t *testing.T) {
	const longest = probeTimeout + maxBackoff + 100*time.Millisecond
	late := 0
	for step := range time.Duration(40) {
		synctest.Test(t, func(t *testing.T) {
			back := time.Now().Add(8*time.Second + step*100*time.Millisecond)
			store := &silentStore{fakeStore: &fakeStore{}, takes: 4 * time.Millisecond}
			f := newFollower(store, &view{}, fakeRelay{}, true)
			f.opts.Wait = 800 * time.Millisecond
			must.NoError(t, f.step(t.Context()))
			store.until = back
			ctx, cancel := context.WithCancel(t.Context())
			done := run(ctx, f)
			time.Sleep(time.Until(back) + longest)
			if f.Lost() {
				late++
			}
			time.Sleep(callTimeout)
			must.False(t, f.Lost())
			cancel()
			<-done
		})
	}
	// Only a call that waits as long as any does is late to see it.
	t.Logf("late in %d of 40 outages", late)
	must.LessEq(t, 40/3, late)
}

// TestSlowStoreIsRegained: a store that answers later than a probe waits is not
// taken to be away for good.
func TestSlowStoreIsRegained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &silentStore{fakeStore: &fakeStore{}, takes: 2 * probeTimeout}
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
