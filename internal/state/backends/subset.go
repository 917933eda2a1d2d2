package backends

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// subsetSize is how many servers of one version or plain service an instance
// sends work to where there are more.
const subsetSize = 24

// Rank is the place of this instance among the entry instances, in an order
// on which all of them agree. It need not be exact: instances that disagree
// only spread work less evenly.
type Rank struct {
	Index int
	Count int
}

// RankOf returns the place of self among IDs.
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

// subset returns the servers that an instance at the given place sends work
// to. The servers stand on a ring in the order of their hashes, and each
// instance takes an arc of it that begins at its own share of the ring, so
// that every server is used by nearly the same number of instances
// (deterministic aperture). Servers that leave are passed over.
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
