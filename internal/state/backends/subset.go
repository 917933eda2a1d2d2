package backends

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// subsetSize is the highest number of servers of one version or plain service
// that an instance sends work to.
const subsetSize = 24

// Rank is the index of this instance among the entry instances, in an order that
// all of them compute alike, and their count. It need not be exact: if instances
// disagree on their membership, work is only spread less evenly.
type Rank struct {
	Index int
	Count int
}

// RankOf returns the rank of self among the IDs, in the order of their hashes.
func RankOf(self string, ids []string) Rank {
	own := xxhash.Sum64String(self)
	index := 0
	for _, id := range ids {
		if xxhash.Sum64String(id) < own {
			index++
		}
	}
	return Rank{Index: index, Count: max(len(ids), 1)}
}

// subset returns the servers that an instance of the given rank sends work to.
// The servers form a ring in the order of their hashes. Each instance uses an arc
// of subsetSize servers that starts at the fraction of the ring given by its
// rank, so that every server is used by nearly the same number of instances
// (deterministic aperture). Leaving servers are skipped. If at most subsetSize
// servers are not leaving, or the rank is unset, all servers are returned.
func subset(servers []*Backend, rank Rank) []*Backend {
	eligible := slices.DeleteFunc(slices.Clone(servers), func(b *Backend) bool { return b.leaving() })
	if len(eligible) <= subsetSize || rank.Count == 0 {
		return servers
	}
	slices.SortFunc(eligible, func(a, b *Backend) int { return cmp.Compare(a.hash, b.hash) })
	start := rank.Index * len(eligible) / rank.Count
	chosen := make([]*Backend, 0, subsetSize)
	for i := range subsetSize {
		chosen = append(chosen, eligible[(start+i)%len(eligible)])
	}
	return chosen
}

func (b *Backend) leaving() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.server.Leaving
}
