package membership_test

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/coordination/gossip"
	"medlarslip/internal/coordination/membership"
	"medlarslip/internal/protocol/platform"
	"medlarslip/internal/state/backends"
)

// drainLimit is the time after which a leaving backend server must receive no new
// work.
const drainLimit = 3 * time.Second

// list is the instance list as one instance reads it.
type list struct {
	mu        sync.Mutex
	instances []platform.Instance
	down      bool
	reads     int
}

func (l *list) Instances(ctx context.Context) (*platform.InstanceList, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	if l.down {
		return nil, errors.New("list is down")
	}
	return &platform.InstanceList{Instances: slices.Clone(l.instances)}, ctx.Err()
}

func (l *list) set(change func(*list)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(l)
}

func (l *list) setState(id string, state platform.InstanceState) {
	l.set(func(l *list) {
		for i := range l.instances {
			if l.instances[i].ID == id {
				l.instances[i].State = state
			}
		}
	})
}

// directTransport calls the nodes in this process directly, by control address.
type directTransport map[string]*gossip.Node

func (d directTransport) Exchange(ctx context.Context, address string, payload []byte) ([]byte, error) {
	time.Sleep(time.Millisecond)
	return d[address].Receive(ctx, payload)
}

// instance is one entry instance with its own view of the list.
type instance struct {
	list    *list
	table   *backends.Table
	members *membership.Members
	node    *gossip.Node
}

func fleetList() []platform.Instance {
	live := platform.InstanceLive
	return []platform.Instance{
		{ID: "e1", Address: "c1", ControlAddress: "p1", Role: platform.RoleEntry, FailureDomain: "a", State: live},
		{ID: "e2", Address: "c2", ControlAddress: "p2", Role: platform.RoleEntry, FailureDomain: "b", State: live},
		{ID: "s1", Address: "s1", Role: platform.RoleEngine, Serves: []string{"v"}, FailureDomain: "a", State: live, Incarnation: "1"},
	}
}

// inFleet runs a test with two instances in virtual time. The test may set out to
// the failure domain that is taken out of service.
func inFleet(t *testing.T, test func(first, second *instance, out *string)) {
	synctest.Test(t, func(t *testing.T) {
		network := directTransport{}
		ctx, stop := context.WithCancel(t.Context())
		var runs sync.WaitGroup
		var out string
		start := func(self platform.Instance) *instance {
			in := &instance{list: &list{instances: fleetList()}, table: backends.NewTable()}
			in.node = gossip.New(gossip.Config{
				Self: gossip.Member{ID: self.ID, ControlAddress: self.ControlAddress, CallerAddress: self.Address, FailureDomain: self.FailureDomain},
				Run:  self.ID, Transport: network,
				OnEntry: func(e gossip.Entry, _ time.Time) { in.members.OnEntry(e) },
			})
			network[self.ControlAddress] = in.node
			in.members = membership.New(membership.Config{
				Self: self, Source: in.list, Gossip: in.node, Table: in.table, TTL: time.Second,
				DomainOut: func(domain string) bool { return domain == out },
			})
			runs.Go(func() { _ = in.members.Run(ctx) })
			runs.Go(func() { _ = in.node.Run(ctx) })
			return in
		}
		first, second := start(fleetList()[0]), start(fleetList()[1])
		time.Sleep(5 * time.Second)
		test(first, second, &out)
		stop()
		runs.Wait()
	})
}

func (in *instance) leaving(id string) bool {
	backend := in.table.Get(id)
	return backend == nil || backend.Snapshot().Server.Leaving
}

func (in *instance) addresses() []string {
	var addresses []string
	for _, entry := range in.members.Entries().Entries {
		addresses = append(addresses, entry.Address)
	}
	return addresses
}

func TestLeavingServerIsBarredInTime(t *testing.T) {
	cases := []struct {
		name   string
		second func(*list)
	}{
		{"list is current", func(*list) {}},
		{"list of the other instance is down", func(l *list) { l.down = true }},
		{"list of the other instance is stale", func(*list) {}},
	}
	for i, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			inFleet(t, func(first, second *instance, _ *string) {
				second.list.set(c.second)
				must.False(t, second.leaving("s1"))
				inFlight := second.table.Get("s1")
				must.True(t, inFlight.Begin(0))
				first.list.setState("s1", platform.InstanceLeaving)
				if i == 0 {
					second.list.setState("s1", platform.InstanceLeaving)
				}
				time.Sleep(drainLimit)
				must.True(t, first.leaving("s1"))
				must.True(t, second.leaving("s1"))
				must.Eq(t, 1, inFlight.Snapshot().InFlight, must.Sprint("request in flight was ended"))
				inFlight.Settle(time.Now(), time.Second, backends.CallGood)
				must.Eq(t, 0, inFlight.Snapshot().Failures)
			})
		})
	}
}

func TestRestartedServerIsNoLongerLeaving(t *testing.T) {
	inFleet(t, func(first, second *instance, _ *string) {
		first.list.setState("s1", platform.InstanceLeaving)
		time.Sleep(drainLimit)
		for _, in := range []*instance{first, second} {
			in.list.set(func(l *list) { l.instances[2].State, l.instances[2].Incarnation = platform.InstanceLive, "2" })
		}
		time.Sleep(drainLimit)
		must.False(t, first.leaving("s1"))
		must.False(t, second.leaving("s1"))
	})
}

func TestServerStaysKnownWhileTheListIsDown(t *testing.T) {
	inFleet(t, func(first, _ *instance, _ *string) {
		first.list.set(func(l *list) { l.down = true })
		time.Sleep(time.Hour)
		must.False(t, first.leaving("s1"))
		must.Eq(t, []string{"c1", "c2"}, first.addresses())
	})
}

func TestLeavingInstanceDisappearsFromEntries(t *testing.T) {
	inFleet(t, func(first, second *instance, _ *string) {
		first.members.Leave()
		must.Eq(t, []string{"c2"}, first.addresses())
		time.Sleep(time.Second)
		must.Eq(t, []string{"c2"}, second.addresses())
	})
}

func TestInstanceRemovedByPlatformDisappears(t *testing.T) {
	inFleet(t, func(first, second *instance, _ *string) {
		second.list.setState("e1", platform.InstanceLeaving)
		time.Sleep(drainLimit)
		must.Eq(t, []string{"c2"}, second.addresses())
	})
}

func TestInstancesOfAFailureDomainTakenOutDisappearAtOnce(t *testing.T) {
	inFleet(t, func(first, second *instance, out *string) {
		*out = "b"
		must.Eq(t, []string{"c1"}, first.addresses())
		must.Eq(t, []string{"c1"}, second.addresses())
		*out = ""
		must.Eq(t, []string{"c1", "c2"}, second.addresses())
	})
}

func TestRestartedServerPropagatesDespiteStaleList(t *testing.T) {
	inFleet(t, func(first, second *instance, _ *string) {
		first.list.set(func(l *list) { l.instances[2].Incarnation = "2" })
		time.Sleep(drainLimit)
		must.Eq(t, "2", second.table.Get("s1").Snapshot().Server.Incarnation)
		second.list.set(func(l *list) { l.instances[2].Incarnation = "2" })
		first.list.set(func(l *list) { l.instances[2].Incarnation = "3" })
		time.Sleep(drainLimit)
		must.Eq(t, "3", second.table.Get("s1").Snapshot().Server.Incarnation)
		must.Eq(t, "3", first.table.Get("s1").Snapshot().Server.Incarnation)
	})
}

func TestLongListsArePolledLessOften(t *testing.T) {
	rows := func(count int) []platform.Instance {
		instances := fleetList()
		for range count - len(instances) {
			instances = append(instances, platform.Instance{ID: "x", Role: platform.RoleEngine, State: platform.InstanceLive})
		}
		return instances
	}
	inFleet(t, func(first, _ *instance, _ *string) {
		reads := func() int {
			first.list.set(func(l *list) { l.reads = 0 })
			time.Sleep(10 * time.Minute)
			count := 0
			first.list.set(func(l *list) { count = l.reads })
			return count
		}
		must.Between(t, 500, reads(), 700)
		first.list.set(func(l *list) { l.instances = rows(1010) })
		time.Sleep(2 * time.Second)
		must.Between(t, 9, reads(), 17)
	})
}
