package peers_test

import (
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/boottime"
	"medlarslip/internal/coordination/workload"
	"medlarslip/internal/state/backends"
)

const (
	// byCostKnown is the time within which all instances must know that one of them chooses
	// servers by expected cost, where a datagram on the way to them is lost.
	byCostKnown = 8 * time.Second
	// byCostLimit is the time after which they may no longer count it, once none does.
	byCostLimit = 30 * time.Second
	// maxProbe is above the size of a probe and below that of any other datagram.
	maxProbe = 20
)

// startExchange gives the member an exchange; it has no servers and learns nothing.
func (m *member) startExchange() {
	m.exchange = workload.NewExchange(workload.ExchangeOptions{
		Servers: backends.NewTable(), Estimators: &workload.Estimators{}, Now: time.Now, Clock: virtualClock, ByCost: m.byCost.Load,
		Large: m.table.Large, Leads: m.table.Leads, Instances: m.table.Known,
	})
}

func (m *member) exchangesLearned() bool { return m.exchange != nil && m.exchange.Active() }

func (m *member) learnedFor(receiver string, leads bool) *workload.Report {
	if m.exchange == nil {
		return nil
	}
	return m.exchange.Report(receiver, leads)
}

func (m *member) mergeLearned(peer string, report *workload.Report, sentAfter boottime.Instant) {
	if m.exchange != nil {
		m.exchange.Merge(peer, report, virtualClock().Since(sentAfter))
	}
}

// reportingFleet starts a fleet whose directories list six instances, of which some see reports
// of servers by which they choose these by expected cost.
func reportingFleet(size, seed int, seeing []int, scenario func(f *fleet, busy []*member)) func(t *testing.T) {
	var began time.Time
	prepare := func(f *fleet) {
		began, f.exchanges = time.Now(), true
		for _, i := range seeing {
			f.members[i].byCost.Store(true)
		}
	}
	return listingFleet(size, seed, prepare, func(f *fleet, busy []*member) {
		time.Sleep(byCostKnown - time.Since(began))
		scenario(f, busy)
	})
}

// active returns the number of members that exchange what they learn and use suspicions.
func (f *fleet) active() int {
	count := 0
	for _, m := range f.members {
		if m.exchangesLearned() {
			count++
		}
	}
	return count
}

// TestLostInstanceIsOmittedByAllWhereSomeSeeReports guards against directories of instances without
// requests, and leaders without requests, that learn of a lost instance seconds later since they
// have seen no report of a server themselves.
func TestLostInstanceIsOmittedByAllWhereSomeSeeReports(t *testing.T) {
	// The first two of the six lead.
	for _, c := range []struct {
		name   string
		seeing []int
	}{{"all six", []int{0, 1, 2, 3, 4, 5}}, {"one that does not lead", []int{4}}} {
		for _, size := range parseSizes(t, *suspicionSizes) {
			seeds, late := *suspicionSeeds, 0
			if size > 100 {
				// A fleet of 300 takes 8 s a seed; with 20 seeds the package would reach its time limit.
				seeds = seedsOf(size)
			}
			var times []time.Duration
			for seed := range seeds {
				t.Run(fmt.Sprint(c.name, "/", size, "/", seed), reportingFleet(size, seed, c.seeing, func(f *fleet, busy []*member) {
					times = append(times, f.omittedAfter(busy[seed%busyInstances]))
				}))
			}
			slices.Sort(times)
			for _, took := range times {
				if took > omittedWithin {
					late++
				}
			}
			t.Logf("%s, %d instances: %d of %d late, median %v, longest %v", c.name, size, late, len(times), times[len(times)/2], times[len(times)-1])
			must.LessEq(t, len(times)/20, late)
		}
	}
}

// TestNothingIsSentOrOmittedWithoutReports guards against probes, reports and omissions in
// deployments whose servers report no fourth figure of their load.
func TestNothingIsSentOrOmittedWithoutReports(t *testing.T) {
	for _, size := range parseSizes(t, *suspicionSizes) {
		t.Run(fmt.Sprint(size), reportingFleet(size, 1, nil, func(f *fleet, busy []*member) {
			var probes atomic.Int64
			f.network.mu.Lock()
			f.network.observe = func(_, _ string, datagram []byte) {
				if len(datagram) <= maxProbe {
					probes.Add(1)
				}
			}
			f.network.mu.Unlock()
			f.kill(busy[3])
			time.Sleep(omittedWithin)
			for _, m := range f.members {
				must.SliceEmpty(f.t, m.table.Suspected())
				begun, _ := m.suspicions.sum()
				must.Zero(f.t, begun)
				m.learnedFrom.Range(func(any, any) bool {
					f.t.Fatal("a report was sent")
					return false
				})
			}
			must.Zero(f.t, probes.Load())
		}))
	}
}

// TestDetectionEndsWithTheReports guards against instances that keep each other in the state in which
// one is known to choose servers by expected cost, and against a state that ends while one still does.
func TestDetectionEndsWithTheReports(t *testing.T) {
	for _, size := range parseSizes(t, *suspicionSizes) {
		t.Run(fmt.Sprint(size), reportingFleet(size, 1, []int{0, 1, 2, 3, 4, 5}, func(f *fleet, busy []*member) {
			for _, m := range busy[:5] {
				m.byCost.Store(false)
			}
			// One that does not lead is enough, also where it has learned nothing to state.
			lasts := byCostLimit + 10*time.Second
			if size > 100 {
				lasts = min(lasts, liveTime)
			}
			for range lasts / time.Second {
				time.Sleep(time.Second)
				must.Eq(f.t, size, f.active())
			}
			busy[5].byCost.Store(false)
			time.Sleep(byCostLimit)
			must.Zero(f.t, f.active())
			f.kill(busy[3])
			time.Sleep(omittedWithin)
			for _, m := range f.members {
				must.SliceEmpty(f.t, m.table.Suspected())
			}
		}))
	}
}

// TestCutOffInstanceUsesItsOwnObservations guards against an instance that counts what its peers
// have observed for longer than it may while it hears of none.
func TestCutOffInstanceUsesItsOwnObservations(t *testing.T) {
	const size = 73
	reportingFleet(size, 1, []int{0, 4}, func(f *fleet, busy []*member) {
		seeing, other := busy[4], f.members[size-1]
		f.network.mu.Lock()
		f.network.partition[seeing.self.PeerAddress], f.network.partition[other.self.PeerAddress] = 1, 2
		f.network.mu.Unlock()
		time.Sleep(byCostLimit)
		must.True(f.t, seeing.exchangesLearned())
		must.False(f.t, other.exchangesLearned())
		must.Eq(f.t, size-1, f.active())
	})(t)
}

// bytes returns the bytes that each member has sent and received.
func (f *fleet) bytes() []int {
	f.network.mu.Lock()
	defer f.network.mu.Unlock()
	all := make([]int, 0, len(f.members))
	for _, m := range f.members {
		all = append(all, m.conn.bytes)
	}
	return all
}

// TestTrafficOfDetectionByReports guards against statements to all instances that exceed, with the
// probes, what the detection may take of an instance that watches others.
func TestTrafficOfDetectionByReports(t *testing.T) {
	// The statements are repeated every six seconds.
	const measured = 12
	for _, size := range parseSizes(t, *suspicionSizes) {
		var bytes [2][]int
		// The leaders do not see reports themselves, which makes their statements longer.
		for i, seeing := range [][]int{nil, {2, 3, 4, 5}} {
			t.Run(fmt.Sprint(size, seeing), reportingFleet(size, 1, seeing, func(f *fleet, _ []*member) {
				before := f.bytes()
				time.Sleep(measured * time.Second)
				for j, after := range f.bytes() {
					bytes[i] = append(bytes[i], (after-before[j])/measured)
				}
			}))
		}
		for i := range busyInstances {
			bytes[1][i] -= bytes[0][i]
		}
		t.Logf("%d instances: added to busy instances %v B/s", size, bytes[1][:busyInstances])
		must.LessEq(t, maxProbeBytes, slices.Max(bytes[1][:busyInstances]))
	}
}
