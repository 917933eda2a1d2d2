package backends

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

func manyServers(count int) []Server {
	servers := make([]Server, count)
	for i := range servers {
		servers[i] = Server{ID: fmt.Sprintf("server-%03d", i), Serves: []string{"v"}}
	}
	return servers
}

func TestFewServersAreAllUsed(t *testing.T) {
	table := NewTable()
	table.SetRank(Rank{Index: 3, Count: 9})
	table.Apply(manyServers(subsetSize))
	must.Len(t, subsetSize, table.Serving("v"))
}

func TestSubsetsCoverAllServersEvenly(t *testing.T) {
	const instances, servers = 410, 100
	uses := map[string]int{}
	for i := range instances {
		table := NewTable()
		table.SetRank(Rank{Index: i, Count: instances})
		table.Apply(manyServers(servers))
		must.Len(t, subsetSize, table.Serving("v"))
		for _, backend := range table.Serving("v") {
			uses[backend.Snapshot().Server.ID]++
		}
	}
	must.MapLen(t, servers, uses)
	for id, count := range uses {
		must.Between(t, instances*subsetSize/servers-subsetSize/2, count, instances*subsetSize/servers+subsetSize/2, must.Sprint(id))
	}
}

func TestSubsetSkipsLeavingServers(t *testing.T) {
	servers := manyServers(60)
	for i := range 30 {
		servers[i].Leaving = true
	}
	table := NewTable()
	table.SetRank(Rank{Index: 1, Count: 2})
	table.Apply(servers)
	must.Len(t, subsetSize, table.Serving("v"))
	for _, backend := range table.Serving("v") {
		must.False(t, backend.Snapshot().Server.Leaving)
	}
}

func TestRanksOfInstancesDiffer(t *testing.T) {
	ids := []string{"a", "b", "c", "d"}
	indexes := map[int]bool{}
	for _, id := range ids {
		indexes[RankOf(id, ids).Index] = true
	}
	must.MapLen(t, len(ids), indexes)
}
