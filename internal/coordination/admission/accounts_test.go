package admission

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test/must"
)

// accountFleet is a fleet of instances that count requests, on a virtual clock.
type accountFleet struct {
	now       time.Time
	random    *rand.Rand
	instances []*Accounts
	leaders   []int
	cutOff    map[int]bool
}

func newAccountFleet(count int) *accountFleet {
	f := &accountFleet{now: time.Unix(1000, 0), leaders: []int{0, 1}, cutOff: map[int]bool{}, random: rand.New(rand.NewPCG(1, uint64(count)))}
	for i := range count {
		f.instances = append(f.instances, f.start(i, count))
	}
	return f
}

func (f *accountFleet) start(i, count int) *Accounts {
	return NewAccounts(AccountsOptions{
		Now: func() time.Time { return f.now }, Enabled: func() bool { return true }, Large: func() bool { return count > 20 },
		Leads: func() bool { return i == f.leaders[0] || i == f.leaders[1] },
		Share: func() float64 {
			if f.cutOff[i] {
				return 1 / float64(count)
			}
			return 1
		},
	})
}

// run sends the requests of accounts, given for 100 ms, and the datagrams between the instances.
func (f *accountFleet) run(length time.Duration, requests map[string]int) {
	accounts := slices.Sorted(maps.Keys(requests))
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(100 * time.Millisecond) {
		for _, account := range accounts {
			for range requests[account] {
				f.instances[f.random.IntN(len(f.instances))].Count(account)
			}
		}
		if f.now.UnixMilli()%800 == 0 {
			f.exchange()
		}
	}
}

func (f *accountFleet) exchange() {
	large := len(f.instances) > 20
	for _, poll := range []bool{true, false} {
		for from := range f.instances {
			for to := range f.instances {
				toLeader, fromLeader := to == f.leaders[0] || to == f.leaders[1], from == f.leaders[0] || from == f.leaders[1]
				if from == to || f.cutOff[from] || f.cutOff[to] || large && poll && !toLeader || large && !poll && !fromLeader {
					continue
				}
				f.instances[to].Merge(fmt.Sprint(from), f.instances[from].Report())
			}
		}
	}
}

var usualRequests = map[string]int{"large": 24, "middle": 8, "small": 2}

// TestSharesAreWeightedMaxMinFair guards against an account at many times its usual demand that
// counts as no excess, against others that do, and against demand that rises for all alike.
func TestSharesAreWeightedMaxMinFair(t *testing.T) {
	for _, instances := range []int{1, 8, 60} {
		f := newAccountFleet(instances)
		f.run(time.Minute, usualRequests)
		excess := func(account string, served float64) float64 {
			return f.instances[instances-1].Excess(account, served)
		}
		for account := range usualRequests {
			must.Zero(t, excess(account, 0.6), must.Sprint("all within their shares"))
		}
		f.run(4*time.Second, map[string]int{"large": 24, "middle": 64, "small": 2})
		must.Zero(t, excess("middle", 1), must.Sprint("capacity for all"))
		must.Zero(t, excess("large", 0.6))
		must.Zero(t, excess("small", 0.6))
		must.Between(t, 0.4, excess("middle", 0.6), 0.7)
		must.LessEq(t, 0.75, excess("middle", 0.5), must.Sprint("two fifths of the share of all are served"))
		must.LessEq(t, 0.9, excess("middle", 0.2))
		must.Zero(t, excess("unknown", 0.5))
		f = newAccountFleet(instances)
		f.run(time.Minute, usualRequests)
		f.run(4*time.Second, map[string]int{"large": 60, "middle": 20, "small": 5})
		for account := range usualRequests {
			must.Zero(t, excess(account, 0.5), must.Sprint("the demand of all has risen alike"))
		}
	}
}

// TestGrownAccountWithMostOfTheDemand guards against an account that is measured by its own growth, and so
// never exceeds its share, once it has half of the usual demand of an instance that started seconds ago;
// and against a single account that exceeds its share.
func TestGrownAccountWithMostOfTheDemand(t *testing.T) {
	f := newAccountFleet(1)
	f.run(4*time.Second, map[string]int{"grown": 10, "steady": 10})
	f.run(4*time.Second, map[string]int{"grown": 60, "steady": 10})
	must.Between(t, 0.35, f.instances[0].Excess("grown", 0.6), 0.7)
	must.Zero(t, f.instances[0].Excess("steady", 0.6))
	f = newAccountFleet(1)
	f.run(4*time.Second, map[string]int{"only": 10})
	f.run(2*time.Second, map[string]int{"only": 60})
	must.Zero(t, f.instances[0].Excess("only", 0.5))
}

// TestCountsUnderPartialFailure guards against shares from stale counts, or none, when an instance is
// cut off or suspended, leaders change or an instance starts.
func TestCountsUnderPartialFailure(t *testing.T) {
	hot := map[string]int{"large": 24, "middle": 64, "small": 2}
	for _, instances := range []int{8, 60} {
		f := newAccountFleet(instances)
		f.run(time.Minute, usualRequests)
		last := instances - 1
		// Cut off: its own counts, scaled to the fleet, show the excess too.
		f.cutOff[last] = true
		f.run(5*time.Second, hot)
		must.Between(t, 0.3, f.instances[last].Excess("middle", 0.6), 0.75)
		must.Zero(t, f.instances[last].Excess("large", 0.6))
		delete(f.cutOff, last)
		// Other leaders have the sums within two exchanges.
		f.leaders = []int{2, 3}
		f.run(1600*time.Millisecond, hot)
		must.Between(t, 0.3, f.instances[last].Excess("middle", 0.6), 0.75)
		must.Between(t, 0.3, f.instances[2].Excess("middle", 0.6), 0.75)
		// An instance that starts takes over the usual demand.
		f.instances[last] = f.start(last, instances)
		f.run(1600*time.Millisecond, hot)
		must.Between(t, 0.2, f.instances[last].Excess("middle", 0.6), 0.75)
		must.Zero(t, f.instances[last].Excess("large", 0.6))
		// Suspended: earlier counts, own and received, are not the present demand.
		f.now = f.now.Add(10 * time.Second)
		must.Zero(t, f.instances[last].Excess("middle", 0.6))
		must.MapEmpty(t, f.instances[last].Report().Own)
	}
}

// TestReportsAreBounded guards against datagrams that grow with the number of accounts, and against
// reports over the bound.
func TestReportsAreBounded(t *testing.T) {
	f := newAccountFleet(60)
	requests := map[string]int{}
	for i := range 300 {
		requests[fmt.Sprint("account ", i)] = 1 + i/30
	}
	f.run(10*time.Second, requests)
	for i, most := range map[int]int{0: 1500, 59: 600} {
		report := f.instances[i].Report()
		must.MapLen(t, MaxAccounts, report.Own)
		content, err := cbor.Marshal(report)
		must.NoError(t, err)
		must.LessEq(t, most, len(content))
	}
	large := &AccountsReport{Own: map[uint32]uint32{}, Members: 9}
	for i := range uint32(MaxAccounts + 1) {
		large.Own[i] = 1000
	}
	f.instances[0].Merge("other", large)
	must.MapNotContainsKey(t, f.instances[0].peers, "other")
	f.instances[0].Merge("former build", nil)
}

// TestRetryAfterIsDrawnAroundTheExpectedTime guards against refused clients that all retry together, and
// against a service with waiting requests that counts as idle.
func TestRetryAfterIsDrawnAroundTheExpectedTime(t *testing.T) {
	usage := Usage{Slots: 12, Taken: 1.5, Servers: 10, Hold: time.Second}
	must.Eq(t, 750*time.Millisecond, usage.RetryAfter(0))
	must.Eq(t, 2250*time.Millisecond, usage.RetryAfter(1))
	must.Eq(t, minRetryAfter, Usage{}.RetryAfter(0.5))
	must.Eq(t, 1.5+60.0/0.5/120, usage.WithWaiting(60, 0.5).Taken)
	must.False(t, usage.Idle(0))
	must.True(t, Usage{Taken: 0.4}.Idle(0))
	must.False(t, Usage{Taken: 0.4}.Idle(1))
}
