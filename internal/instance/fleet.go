package instance

import (
	"time"

	"medlarslip/internal/coordination/coldstart"
	"medlarslip/internal/coordination/gossip"
	"medlarslip/internal/coordination/loadwatch"
	"medlarslip/internal/coordination/membership"
	"medlarslip/internal/protocol/document"
	"medlarslip/internal/protocol/platform"
	"medlarslip/internal/transport/enginemetrics"
	"medlarslip/internal/transport/peergossip"
)

// addFleet adds the parts that track the other instances and the backend
// servers.
func (a *assembly) addFleet() {
	s := a.settings
	self := platform.Instance{
		ID:             s.Instance,
		Address:        s.Listen.Callers,
		ControlAddress: s.Listen.Peers,
		Role:           platform.RoleEntry,
		FailureDomain:  s.FailureDomain,
		State:          platform.InstanceLive,
		Incarnation:    a.incarnation,
	}
	a.gossip = gossip.New(gossip.Config{
		Self: gossip.Member{
			ID: s.Instance, ControlAddress: s.Listen.Peers, CallerAddress: s.Listen.Callers, FailureDomain: s.FailureDomain,
		},
		Run:       a.incarnation,
		Transport: peergossip.Transport{Client: a.peerClient},
		OnEntry:   a.onEntry,
	})
	peergossip.Handle(a.peerServer, a.gossip)
	a.members = membership.New(membership.Config{
		Self: self, Source: a.platform, Gossip: a.gossip, Table: a.table,
		TTL: s.Drain.EntriesTTL(), DomainOut: a.domainOut,
	})
	a.cold = coldstart.New(coldstart.Config{
		Instance: s.Instance, Incarnation: a.incarnation, Log: a.log, Members: a.members, Gossip: a.gossip,
		Peers: a.peerClient, Table: a.table, Index: a.index, LongestCall: s.Drain.LongestRequest(),
	})
	a.peerServer.Handle(coldstart.MethodAcquire, a.cold.HandleAcquire)
	a.peerServer.Handle(coldstart.MethodRelease, a.cold.HandleRelease)
	a.servingTasks = append(a.servingTasks, a.members.Run, a.gossip.Run, a.cold.Run)
	a.addLoadWatch()
}

// addLoadWatch adds the part that tracks the load of the backend servers.
func (a *assembly) addLoadWatch() {
	a.watcher = loadwatch.New(loadwatch.Config{
		Self: a.settings.Instance, EntryIDs: a.members.EntryIDs, Table: a.table,
		Reader: enginemetrics.New(a.backendPool), Gossip: a.gossip,
	})
	a.servingTasks = append(a.servingTasks, a.watcher.Run)
}

// leave announces to callers and to the other instances that this instance is
// about to stop.
func (a *assembly) leave() {
	a.members.Leave()
	a.cold.Leave()
}

// index returns the document in force, or nil.
func (a *assembly) index() *document.Index {
	if config := a.store.Current(); config != nil {
		return config.Index
	}
	return nil
}

// domainOut reports whether operators have taken a failure domain out of service.
func (a *assembly) domainOut(failureDomain string) bool {
	index := a.index()
	return index != nil && index.DomainOut(failureDomain)
}

// onEntry forwards gossip entries to the parts that use them.
func (a *assembly) onEntry(entry gossip.Entry, observed time.Time) {
	a.members.OnEntry(entry)
	a.cold.OnEntry(entry)
	a.watcher.OnEntry(entry, observed)
	a.mergeLearned(entry)
}
