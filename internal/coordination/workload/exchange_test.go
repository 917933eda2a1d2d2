package workload_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test/must"

	"medlarslip/internal/boottime"
	"medlarslip/internal/coordination/workload"
	"medlarslip/internal/state/backends"
)

// exchangeLeaders is the number of leaders of a large fleet.
const exchangeLeaders = 2

// exchanger is an instance that exchanges what it learns.
type exchanger struct {
	name  string
	leads bool
	// byCost is true if it chooses servers by expected cost on its own account.
	byCost   bool
	table    *backends.Table
	learned  workload.Estimators
	exchange *workload.Exchange
}

// exchangeFleet is a fleet of instances that exchange what they learn, without a network.
type exchangeFleet struct {
	now time.Time
	all []*exchanger
	// bytes counts the bytes of the reports that each instance sent.
	bytes   map[string]int
	largest int
}

func newExchangeFleet(size, servers int) *exchangeFleet {
	f := &exchangeFleet{now: start, bytes: map[string]int{}}
	var ids []string
	for i := range servers {
		ids = append(ids, fmt.Sprintf("server-%03d", i))
	}
	for i := range size {
		in := &exchanger{name: fmt.Sprint("instance-", i), leads: i < exchangeLeaders, byCost: true}
		in.table, _ = newServers(ids...)
		in.exchange = workload.NewExchange(workload.ExchangeOptions{
			Servers: in.table, Estimators: &in.learned, Now: func() time.Time { return f.now }, ByCost: func() bool { return in.byCost },
			Clock: func() boottime.Instant { return boottime.Instant(f.now.UnixNano()) },
			Large: func() bool { return size > 21 }, Leads: func() bool { return in.leads }, Instances: func() int { return size },
		})
		f.all = append(f.all, in)
	}
	return f
}

// round sends the datagrams of a round, each of which is received age later.
func (f *exchangeFleet) round(t *testing.T, age time.Duration) {
	t.Helper()
	large := len(f.all) > 21
	for _, from := range f.all {
		for _, to := range f.all {
			if from == to || (large && !from.leads && !to.leads) {
				continue
			}
			report := from.exchange.Report(to.name, to.leads)
			if report == nil {
				continue
			}
			content, err := cbor.Marshal(report)
			must.NoError(t, err)
			f.bytes[from.name] += len(content)
			f.largest = max(f.largest, len(content))
			to.exchange.Merge(from.name, report, age)
		}
	}
	f.now = f.now.Add(800 * time.Millisecond)
}

// observe makes an instance observe times between events: the first third of the servers is 2.4
// times as fast as the others.
func (f *exchangeFleet) observe(in *exchanger, server int) {
	interval := 24 * time.Millisecond
	if all := len(in.table.All()); server%all < all/3 {
		interval = 10 * time.Millisecond
	}
	backend := in.table.Get(fmt.Sprintf("server-%03d", server%len(in.table.All())))
	in.learned.ObserveEvents(stream("m"), backend, interval, f.now)
}

func (f *exchangeFleet) ratio(in *exchanger) float64 {
	last := fmt.Sprintf("server-%03d", len(in.table.All())-1)
	return slowdown(&in.learned, in.table.Get(last), f.now) / slowdown(&in.learned, in.table.Get("server-000"), f.now)
}

// TestSpeedsThatOthersObserved guards against an instance that does not know the speed of servers
// which it rarely uses: 8 or 68 instances before 90 servers, of which each sees one in 100 ms.
func TestSpeedsThatOthersObserved(t *testing.T) {
	for _, size := range []int{8, 68} {
		f := newExchangeFleet(size, 90)
		for round := range 20 {
			for i, in := range f.all {
				for j := range 8 {
					f.observe(in, 8*round+j+13*i)
				}
			}
			f.round(t, 100*time.Millisecond)
		}
		for _, in := range f.all {
			must.Between(t, 1.8, f.ratio(in), 2.6)
		}
	}
}

// TestStatementsCountOnce guards against observations that come back to the instance that made
// them, by a leader or another instance, and against those that both leaders pass on.
func TestStatementsCountOnce(t *testing.T) {
	for _, size := range []int{4, 30} {
		f := newExchangeFleet(size, 3)
		observer := f.all[size-1]
		for server := range 60 {
			f.observe(observer, server)
		}
		pace, _ := observer.table.Get("server-000").Pace()
		observed := pace.Slowdown.Moments(f.now, 21*time.Second).Weight
		for range 30 {
			f.round(t, 100*time.Millisecond)
		}
		for _, in := range f.all {
			pace, _ := in.table.Get("server-000").Pace()
			stated := pace.Stated.Weight(f.now, 21*time.Second)
			if in == observer {
				must.Less(t, 0.1, stated)
				continue
			}
			must.Between(t, 0.1, stated, observed)
		}
	}
}

// TestStatementsExpireWithTheRun guards against the speed of a former run of a server, in a
// statement that arrived before or arrives after its restart.
func TestStatementsExpireWithTheRun(t *testing.T) {
	for name, restart := range map[string]func(in *exchanger, now time.Time){
		"incarnation": func(in *exchanger, _ time.Time) {
			in.table.Apply([]backends.Server{{ID: "server-000", Incarnation: "2"}, {ID: "server-001", Incarnation: "2"}, {ID: "server-002", Incarnation: "2"}})
		},
		"process": func(in *exchanger, now time.Time) {
			for _, backend := range in.table.All() {
				backend.SetLoad(backends.Load{Started: 2, ReadAt: now})
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newExchangeFleet(2, 3)
			for _, backend := range f.all[0].table.All() {
				backend.SetLoad(backends.Load{Started: 1, ReadAt: f.now})
			}
			for server := range 60 {
				f.observe(f.all[0], server)
			}
			late := f.all[0].exchange.Report("another", false)
			f.round(t, 100*time.Millisecond)
			must.Greater(t, 1.8, f.ratio(f.all[1]))
			restart(f.all[1], f.now)
			must.Eq(t, 1, f.ratio(f.all[1]))
			f.all[1].exchange.Merge("instance-0", late, 100*time.Millisecond)
			must.Eq(t, 1, f.ratio(f.all[1]))
		})
	}
}

// TestLeaderStatesTheRunOfItsMembers guards against the speed of a former run of a server in the sum
// of a leader that has no report of the server and knows its run only from statements.
func TestLeaderStatesTheRunOfItsMembers(t *testing.T) {
	f := newExchangeFleet(30, 3)
	observer, former, present := f.all[27], f.all[28], f.all[29]
	for in, started := range map[*exchanger]uint16{observer: 1, former: 1, present: 2} {
		for _, backend := range in.table.All() {
			backend.SetLoad(backends.Load{Started: started, ReadAt: f.now})
		}
	}
	for server := range 60 {
		f.observe(observer, server)
	}
	for range 6 {
		f.round(t, 100*time.Millisecond)
	}
	must.Greater(t, 1.8, f.ratio(former))
	must.Eq(t, 1, f.ratio(present))
}

// TestOldStatementsAreIgnored guards against statements from the buffer of a suspended
// instance, and against those whose age is not known.
func TestOldStatementsAreIgnored(t *testing.T) {
	for age, counts := range map[time.Duration]bool{0: false, time.Second: true, 6 * time.Second: false} {
		f := newExchangeFleet(2, 3)
		for server := range 60 {
			f.observe(f.all[0], server)
		}
		f.round(t, age)
		must.Eq(t, counts, f.ratio(f.all[1]) > 1.5)
		// A datagram of the previous build lacks the report.
		f.all[1].exchange.Merge("instance-0", nil, age)
		must.Eq(t, counts, f.ratio(f.all[1]) > 1.5)
	}
}

// TestLengthsThatOthersObserved guards against an instance that does not know the length of answers
// on a route which it has just begun to serve.
func TestLengthsThatOthersObserved(t *testing.T) {
	for _, size := range []int{4, 30} {
		f := newExchangeFleet(size, 3)
		for range 40 {
			f.all[size-1].learned.ObserveLength(stream("m"), 200, f.now)
		}
		before := generation(&f.all[size-2].learned, 0, f.now)
		for range 6 {
			f.round(t, 100*time.Millisecond)
		}
		must.Less(t, 60, before)
		must.Between(t, 140, generation(&f.all[size-2].learned, 0, f.now), 260)
	}
}

// TestReportsFitTheBudget guards against reports that exceed their share of the control traffic
// of an instance: 600 servers, all with new observations.
func TestReportsFitTheBudget(t *testing.T) {
	for _, size := range []int{2, 20, 68} {
		f := newExchangeFleet(size, 600)
		for round := range 10 {
			for i, in := range f.all {
				// All servers have new observations at first.
				for j := range 600 / (1 + 9*min(round, 1)) {
					f.observe(in, i+j)
				}
			}
			f.round(t, 100*time.Millisecond)
		}
		must.LessEq(t, 2048, f.largest)
		if size <= 21 {
			must.LessEq(t, 1024, f.largest)
		}
		for _, bytes := range f.bytes {
			// The encoding adds at most a fifth to the statements.
			must.LessEq(t, 1.2*4000*8+2*1024, float64(bytes))
		}
	}
}

// TestStatementsAreCounted guards against an exchange that operators can't see: statements that
// were sent, merged, and rejected as too old.
func TestStatementsAreCounted(t *testing.T) {
	f := newExchangeFleet(2, 6)
	from, to := f.all[0], f.all[1]
	for i := range 60 {
		f.observe(from, i)
	}
	from.learned.ObserveLength(stream("m"), 20, f.now)
	report := from.exchange.Report(to.name, false)
	to.exchange.Merge(from.name, report, 6*time.Second)
	// A report of unknown age is ignored, but is not known to be old.
	to.exchange.Merge(from.name, report, 0)
	// One for members of a large fleet is rejected at any age, for another reason.
	to.exchange.Merge(from.name, &workload.Report{Fleet: true, Speeds: report.Speeds, Lengths: report.Lengths}, 6*time.Second)
	speeds, lengths := to.exchange.Counts()
	must.Eq(t, workload.ExchangeCounts{TooOld: 6}, speeds)
	must.Eq(t, workload.ExchangeCounts{TooOld: 1}, lengths)
	to.exchange.Merge(from.name, report, time.Second)
	speeds, lengths = to.exchange.Counts()
	must.Eq(t, workload.ExchangeCounts{TooOld: 6, Received: 6}, speeds)
	must.Eq(t, workload.ExchangeCounts{TooOld: 1, Received: 1}, lengths)
	speeds, lengths = from.exchange.Counts()
	must.Eq(t, workload.ExchangeCounts{Sent: 6}, speeds)
	must.Eq(t, workload.ExchangeCounts{Sent: 1}, lengths)
}
