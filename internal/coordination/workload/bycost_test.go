package workload_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/boottime"
	"medlarslip/internal/coordination/workload"
)

// byCostLife is how long after the end of its cause an exchange may go on.
const byCostLife = 30 * time.Second

// newByCost returns a fleet of which only the last instances choose servers by expected cost.
func newByCost(size, choosing int) *exchangeFleet {
	f := newExchangeFleet(size, 3)
	for i, in := range f.all {
		in.byCost = i >= size-choosing
	}
	return f
}

func (f *exchangeFleet) active() int {
	count := 0
	for _, in := range f.all {
		if in.exchange.Active() {
			count++
		}
	}
	return count
}

// TestReportsOfSlownessExpire guards against reports of servers that count until the process ends,
// for their service or for any, and against a report of one service that counts for another.
func TestReportsOfSlownessExpire(t *testing.T) {
	var e workload.Estimators
	now := boottime.Instant(time.Hour)
	clock := func() boottime.Instant { return now }
	expect := func(a, b bool) {
		t.Helper()
		must.Eq(t, a, e.ReportsSlowness("a", clock))
		must.Eq(t, b, e.ReportsSlowness("b", clock))
		must.Eq(t, a || b, e.AnyReportsSlowness(clock))
	}
	expect(false, false)
	e.RecordReport("a", 0, now)
	expect(false, false)
	e.RecordReport("a", 1, now)
	expect(true, false)
	now += boottime.Instant(byCostLife - 1)
	e.RecordReport("b", 2.5, now)
	expect(true, true)
	now++
	expect(false, true)
	now += boottime.Instant(byCostLife - 1)
	expect(false, false)
	must.Zero(t, testing.AllocsPerRun(100, func() { e.RecordReport("a", 1, now) }))
}

// TestMembersLearnOfPlacementByCost guards against leaders and members that do not learn that an
// instance chooses servers by expected cost, since they, or also that one, have nothing to state,
// and against small fleets that exchange more than before.
func TestMembersLearnOfPlacementByCost(t *testing.T) {
	for _, c := range []struct {
		size     int
		observes bool
		active   int
	}{{10, true, 1}, {73, true, 73}, {73, false, 73}} {
		f := newByCost(c.size, 1)
		for i := range 60 {
			if c.observes {
				f.observe(f.all[c.size-1], i)
			}
			f.round(t, 100*time.Millisecond)
		}
		must.Eq(t, c.active, f.active())
	}
}

// TestExchangeEndsWithPlacementByCost guards against instances that keep each other exchanging what
// they learn: all have observations to state, to leaders that pass them on.
func TestExchangeEndsWithPlacementByCost(t *testing.T) {
	for _, choosing := range []int{1, 73} {
		f := newByCost(73, choosing)
		round := func() {
			for i, in := range f.all {
				f.observe(in, i)
			}
			f.round(t, 1500*time.Millisecond)
		}
		for range 30 {
			round()
		}
		must.Eq(t, 73, f.active())
		for _, in := range f.all {
			in.byCost = false
		}
		for ended := f.now; f.now.Sub(ended) < byCostLife; {
			round()
		}
		must.Zero(t, f.active())
		for _, in := range f.all {
			must.Nil(t, in.exchange.Report("instance-0", true))
			must.Nil(t, in.exchange.Report("instance-72", false))
		}
	}
}

// TestReportsOfThePreviousBuildCount guards against a fleet of both builds in which reports of the
// previous one, that are sent on an instance's own account alone, have no effect.
func TestReportsOfThePreviousBuildCount(t *testing.T) {
	f := newByCost(73, 0)
	leader, member := f.all[0].exchange, f.all[70].exchange
	leader.Merge("instance-5", &workload.Report{Speeds: make([]byte, 10)}, time.Second)
	must.True(t, leader.Active())
	member.Merge("instance-1", &workload.Report{Fleet: true}, time.Second)
	must.True(t, member.Active())
	f.now = f.now.Add(byCostLife - time.Second)
	must.False(t, leader.Active())
}

// TestInvalidAgesOfPlacementByCost guards against datagrams of unknown, invalid or too high age that
// make an instance exchange what it learns, or make it do so for longer.
func TestInvalidAgesOfPlacementByCost(t *testing.T) {
	for _, c := range []struct {
		seconds int
		age     time.Duration
	}{
		{0, 0},
		{0, -time.Second},
		{0, byCostLife},
		{0, 1 << 62},
		{-5, time.Second},
		{30, time.Second},
		{29, time.Second},
		{1 << 62, time.Second},
	} {
		f := newByCost(73, 0)
		in := f.all[70].exchange
		in.Merge("instance-0", &workload.Report{Fleet: true, ByCostAge: c.seconds}, c.age)
		must.False(t, in.Active())
		// A lower age counts, and a higher one after it does not shorten the time.
		in.Merge("instance-0", &workload.Report{Fleet: true, ByCostAge: 10}, time.Second)
		in.Merge("instance-1", &workload.Report{Fleet: true, ByCostAge: 20}, time.Second)
		f.now = f.now.Add(byCostLife - 11*time.Second - 1)
		must.True(t, in.Active())
		f.now = f.now.Add(1)
		must.False(t, in.Active())
	}
}

// TestStatementsOfPlacementByCostAreFew guards against reports without statements in each datagram,
// which would add 1 KB/s to a leader of 300 instances, and against members that state to leaders
// what they have from them.
func TestStatementsOfPlacementByCostAreFew(t *testing.T) {
	f := newByCost(73, 1)
	for range 75 {
		f.round(t, 100*time.Millisecond)
	}
	must.MapLen(t, 3, f.bytes)
	// In a minute 73 receivers got 10 reports of at most six bytes, and one more of each kind at first.
	must.LessEq(t, 73*11*6, f.bytes["instance-0"])
}
