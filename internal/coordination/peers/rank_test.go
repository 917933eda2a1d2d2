package peers_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/coordination/peers"
)

// TestLargestInstancesRankFirst guards against cold servers that get no requests in a large fleet:
// only its largest instances receive requests, so the few that a cold server may get must be theirs.
// All instances compute one order, in which no rank occurs twice.
func TestLargestInstancesRankFirst(t *testing.T) {
	const large = 6
	for _, size := range []int{1, 8, 60, 300} {
		instances := make([]peers.Instance, size)
		for i := range instances {
			instances[i] = peers.Instance{Name: fmt.Sprintf("entry-%d", i), Weight: 10}
			if i < large {
				instances[i].Weight = 200
			}
		}
		tables := make([]*peers.Table, size)
		for i, self := range instances {
			tables[i] = peers.New(peers.Options{Name: self.Name, Self: func() peers.Instance { return self }, Now: time.Now})
			for j, other := range instances {
				if j != i {
					tables[i].Add(other)
				}
			}
		}
		for _, server := range []string{"s-1", "s-2", "s-3"} {
			byWeight, byHash := map[int]bool{}, map[int]bool{}
			for i, table := range tables {
				rank := table.WeightedRank(server)
				must.Eq(t, i < large, rank < min(large, size), must.Sprintf("%d instances, instance %d, rank %d", size, i, rank))
				byWeight[rank], byHash[table.Rank(server)] = true, true
			}
			must.MapLen(t, size, byWeight)
			must.MapLen(t, size, byHash)
		}
	}
}

// TestRanksAgreeAfterWeightsChange guards against more requests to a cold server than the first
// instances may send: an instance that runs with another weight than its record states must
// have the same place in the order of all instances, also of those that receive no datagrams from it.
func TestRanksAgreeAfterWeightsChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 73)
		defer f.stop()
		var recorded []*member
		for i, m := range f.members {
			former := &member{self: m.self}
			if i >= 60 {
				m.self.Weight = 300
			}
			recorded = append(recorded, former)
		}
		for _, m := range f.members {
			f.startAfter(m, recorded)
		}
		time.Sleep(detectionLimit)
		for _, server := range []string{"s-1", "s-2", "s-3"} {
			ranks := map[int]bool{}
			for _, m := range f.members {
				ranks[m.table.WeightedRank(server)] = true
			}
			must.MapLen(t, len(f.members), ranks)
		}
	})
}
