package fleetlimit

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/boottime"
)

// pair is a coordinator and an instance that asks it, on one virtual clock.
type pair struct {
	coordinator, other *Limiter
	// deliver passes a message on; a test may drop or delay it.
	deliver func(m *Message, pass func())
}

func newPair() *pair {
	p := &pair{deliver: func(_ *Message, pass func()) { pass() }}
	began := time.Now()
	opts := Options{
		Now: func() boottime.Instant { return boottime.Instant(time.Hour + time.Since(began)) }, Log: quietLog(),
		Coordinator: func(string) string { return "coordinator" }, Share: func() float64 { return 1 }, Changed: func() {},
	}
	toOther, toCoordinator := opts, opts
	toOther.Name, toCoordinator.Name = "coordinator", "other"
	toCoordinator.Send = func(_ string, m *Message) {
		go p.deliver(m, func() {
			if reply := p.coordinator.Handle(m); reply != nil {
				go p.deliver(reply, func() { p.other.Handle(reply) })
			}
		})
	}
	p.coordinator, p.other = New(toOther), New(toCoordinator)
	return p
}

// inPair runs a test with a server "s" whose limit only the asking instance knows.
func inPair(t *testing.T, limit Limit, run func(t *testing.T, p *pair)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		p := newPair()
		p.other.Observe("s", limit, p.other.Now()-1)
		run(t, p)
		time.Sleep(time.Minute) // ends the delayed deliveries
	})
}

// acquired counts the permits that an instance gets within a time.
func acquired(ctx context.Context, l *Limiter, within time.Duration) int {
	count := 0
	for began := time.Now(); time.Since(began) < within; time.Sleep(5 * time.Millisecond) {
		if _, ok := l.Acquire(ctx, "s"); ok {
			count++
		}
	}
	return count
}

// TestPermitsFollowTheStatedRate: the coordinator learns the limit with the first
// request, and grants it its permits and its own from the same bucket.
func TestPermitsFollowTheStatedRate(t *testing.T) {
	inPair(t, stated(4), func(t *testing.T, p *pair) {
		own, theirs := make(chan int), make(chan int)
		go func() { theirs <- acquired(t.Context(), p.other, 30*time.Second) }()
		time.Sleep(time.Second)
		must.True(t, p.coordinator.Limited("s"))
		go func() { own <- acquired(t.Context(), p.coordinator, 29*time.Second) }()
		a, b := <-own, <-theirs
		must.Between(t, 100, a+b, 4*30+minBurst)
		must.Between(t, 35, a, 85)
	})
}

// TestPermitIsNotUsedAfterASuspension guards against an instance that was suspended and
// sends a request on a permit that has expired meanwhile.
func TestPermitIsNotUsedAfterASuspension(t *testing.T) {
	inPair(t, stated(4), func(t *testing.T, p *pair) {
		permit, ok := p.other.Acquire(t.Context(), "s")
		must.True(t, ok)
		must.False(t, permit.Unlimited())
		must.False(t, permit.Expired(p.other.Now()))
		time.Sleep(permitLifetime + time.Millisecond)
		must.True(t, permit.Expired(p.other.Now()))
	})
}

// TestLateReplyGrantsNothing: a coordinator that was suspended replies later than the
// permit lasts. The server is not used meanwhile, and the late permit is dropped.
func TestLateReplyGrantsNothing(t *testing.T) {
	inPair(t, stated(4), func(t *testing.T, p *pair) {
		p.deliver = func(_ *Message, pass func()) {
			time.Sleep(permitLifetime)
			pass()
		}
		began := time.Now()
		_, ok := p.other.Acquire(t.Context(), "s")
		must.False(t, ok)
		must.Eq(t, permitLifetime, time.Since(began))
		must.Eq(t, unansweredPause, p.other.Wait("s"))
		_, ok = p.other.Acquire(t.Context(), "s")
		must.False(t, ok)
		must.Eq(t, permitLifetime, time.Since(began), must.Sprint("no second request while the server is not used"))
		must.Zero(t, acquired(t.Context(), p.other, 5*time.Second))
	})
}

// TestSilentCoordinatorDelaysFewRequests: a coordinator that does not reply delays one
// request, not one for each of its servers.
func TestSilentCoordinatorDelaysFewRequests(t *testing.T) {
	inPair(t, stated(4), func(t *testing.T, p *pair) {
		p.deliver = func(*Message, func()) {}
		began := time.Now()
		for _, id := range []string{"s", "s2", "s3", "s4"} {
			p.other.Observe(id, stated(4), p.other.Now()-1)
			_, ok := p.other.Acquire(t.Context(), id)
			must.False(t, ok)
		}
		must.Eq(t, permitLifetime, time.Since(began))
		p.deliver = func(_ *Message, pass func()) { pass() }
		time.Sleep(unansweredPause)
		_, ok := p.other.Acquire(t.Context(), "s2")
		must.True(t, ok)
	})
}

// TestOnlyTheCoordinatorGrants: an instance that is asked by mistake, and one that does
// not know the fleet yet, refuse, since another one may grant permits.
func TestOnlyTheCoordinatorGrants(t *testing.T) {
	inPair(t, stated(4), func(t *testing.T, p *pair) {
		p.coordinator.opts.Coordinator = func(string) string { return "third" }
		must.Zero(t, acquired(t.Context(), p.other, 5*time.Second))
		p.coordinator.opts.Coordinator = func(string) string { return "coordinator" }
		p.coordinator.opts.Share = func() float64 { return 0 }
		must.Zero(t, acquired(t.Context(), p.other, 5*time.Second))
		must.Zero(t, acquired(t.Context(), p.coordinator, 5*time.Second))
	})
}

// TestPartOfAFleetGetsItsShare: a part of a fleet that is cut off from the rest uses no
// more than its share of the limit.
func TestPartOfAFleetGetsItsShare(t *testing.T) {
	inPair(t, stated(8), func(t *testing.T, p *pair) {
		p.coordinator.opts.Share = func() float64 { return 0.25 }
		must.Between(t, 17, acquired(t.Context(), p.other, 10*time.Second), 2*10+minBurst)
	})
}

// TestLimitThatHasEndedNeedsNoPermit: the coordinator tells an instance that asks for a
// permit that the limit has ended.
func TestLimitThatHasEndedNeedsNoPermit(t *testing.T) {
	inPair(t, stated(0.2), func(t *testing.T, p *pair) {
		_, ok := p.other.Acquire(t.Context(), "s")
		must.True(t, ok)
		time.Sleep(20 * time.Second)
		p.coordinator.Observe("s", Limit{}, p.coordinator.Now()-1)
		_, ok = p.other.Acquire(t.Context(), "s")
		must.True(t, ok)
		must.False(t, p.other.Limited("s"))
		permit, ok := p.other.Acquire(t.Context(), "s")
		must.True(t, ok)
		must.True(t, permit.Unlimited())
	})
}

// TestChangeOfTheRateEndsWaits: a raised limit is used at once, and a lowered one has no
// permits left from the higher one.
func TestChangeOfTheRateEndsWaits(t *testing.T) {
	inPair(t, stated(0.2), func(t *testing.T, p *pair) {
		must.LessEq(t, 4, acquired(t.Context(), p.other, 9*time.Second))
		must.Positive(t, p.other.Wait("s"))
		p.other.Observe("s", stated(10), p.other.Now()-1)
		must.Zero(t, p.other.Wait("s"))
		p.coordinator.Merge(p.other.Reports(), p.coordinator.Now())
		must.Between(t, 80, acquired(t.Context(), p.other, 10*time.Second), 10*10+burst(10))
		p.other.Observe("s", stated(0), p.other.Now()-1)
		must.LessEq(t, minBurst+1, acquired(t.Context(), p.other, 10*time.Second))
	})
}

// TestRefusedInstancesTakeTurns: instances that are refused are told to come back one
// after the other, at the rate of the permits, and within maxWait.
func TestRefusedInstancesTakeTurns(t *testing.T) {
	const perSecond = 2
	now := boottime.Instant(time.Hour)
	b := newBucket(perSecond, now)
	granted, _ := b.take(perSecond, now)
	must.True(t, granted)
	var waits []time.Duration
	for range 100 {
		granted, wait := b.take(perSecond, now)
		must.False(t, granted)
		waits = append(waits, wait)
	}
	must.Eq(t, 500*time.Millisecond, waits[0].Round(time.Millisecond))
	must.Eq(t, time.Second, waits[1].Round(time.Millisecond))
	must.Eq(t, maxWait, waits[99])
}

// TestMalformedMessagesAreHarmless: what another version or a damaged datagram may
// contain neither fails nor grants anything.
func TestMalformedMessagesAreHarmless(t *testing.T) {
	inPair(t, stated(4), func(t *testing.T, p *pair) {
		must.Nil(t, p.coordinator.Handle(&Message{}))
		must.Nil(t, p.coordinator.Handle(&Message{ID: 1, Report: Report{Server: "s", PerSecond: -1, Limited: true}}))
		must.Nil(t, p.coordinator.Handle(&Message{ID: 1, Reply: true, Granted: true}))
		must.Zero(t, p.coordinator.LimitedServers())
		p.deliver = func(m *Message, pass func()) {
			m.Granted, m.Wait, m.Report = false, -time.Hour, Report{Server: "s", Limited: true, PerSecond: 4}
			pass()
		}
		_, ok := p.other.Acquire(t.Context(), "s")
		must.False(t, ok)
		must.Between(t, 1, p.other.Wait("s"), maxWait)
	})
}

// TestAcquireEndsWithItsRequest: a request whose client has left does not wait.
func TestAcquireEndsWithItsRequest(t *testing.T) {
	inPair(t, stated(4), func(t *testing.T, p *pair) {
		p.deliver = func(*Message, func()) {}
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		began := time.Now()
		_, ok := p.other.Acquire(ctx, "s")
		must.False(t, ok)
		must.Zero(t, time.Since(began))
	})
}
