package backends

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestOutstandingPrefillIsPropagated(t *testing.T) {
	sender, receiver := NewTable(), NewTable()
	for _, table := range []*Table{sender, receiver} {
		table.Apply(manyServers(3))
	}
	sender.Get("server-000").BeginPrefill(3 * time.Second)
	sender.Get("server-001").BeginPrefill(minReportedPrefill / 2)
	reported := sender.Prefill()
	must.Eq(t, map[string]int64{"server-000": 3000}, reported)
	receiver.SetPeerPrefill("sender", reported)
	received := receiver.Get("server-000").Snapshot().Prefill
	must.Between(t, 2*time.Second, received, 3*time.Second)
	must.Zero(t, receiver.Get("server-001").Snapshot().Prefill)
	sender.Get("server-000").EndPrefill(3 * time.Second)
	receiver.SetPeerPrefill("sender", sender.Prefill())
	must.Zero(t, receiver.Get("server-000").Snapshot().Prefill)
}

// TestPeerPrefillExpires guards against a server that looks busy for ever
// because a peer stops reporting.
func TestPeerPrefillExpires(t *testing.T) {
	now := time.Unix(1000, 0)
	var o outstandingPrefill
	o.peers = map[string]peerPrefill{"a": {remaining: time.Second, receivedAt: now}, "b": {remaining: 3 * time.Second, receivedAt: now}}
	must.Eq(t, 4*time.Second, o.peersTotal(now))
	must.Eq(t, time.Second, o.peersTotal(now.Add(2*time.Second)))
	must.Zero(t, o.peersTotal(now.Add(time.Minute)))
}

// TestPositionsAreSpreadOverEachVersion checks that the positions are even within
// each version and that leaving servers are not counted.
func TestPositionsAreSpreadOverEachVersion(t *testing.T) {
	servers := manyServers(6)
	servers[0].Leaving = true
	for i := 3; i < 6; i++ {
		servers[i].Version = "v2"
	}
	table := NewTable()
	table.Apply(servers)
	byVersion := map[string]map[float64]bool{"": {}, "v2": {}}
	for _, backend := range table.Serving("v") {
		if snapshot := backend.Snapshot(); !snapshot.Server.Leaving {
			byVersion[snapshot.Server.Version][snapshot.Position] = true
		}
	}
	must.Eq(t, map[float64]bool{0.25: true, 0.75: true}, byVersion[""])
	must.MapLen(t, 3, byVersion["v2"])
}
