package peers

import (
	"cmp"

	"github.com/cespare/xxhash/v2"
)

// Rank returns the rank of this instance, from 0, for a key among all instances
// ever discovered. It uses rendezvous hashing (Thaler and Ravishankar, 1998), so
// that all instances compute the same order.
func (t *Table) Rank(key string) int {
	return t.rank(key, func(*Instance) int { return 0 })
}

// WeightedRank is Rank in an order in which instances of a higher weight come first.
func (t *Table) WeightedRank(key string) int {
	self := t.opts.Self()
	return t.rank(key, func(other *Instance) int { return cmp.Compare(other.Weight, self.Weight) })
}

// AllRankByWeight reports whether all instances ever discovered use WeightedRank.
func (t *Table) AllRankByWeight() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.peers {
		if !p.instance.RanksByWeight {
			return false
		}
	}
	return true
}

// rank counts the instances that precede this one for a key: those that order places
// before it, and of those that are equal the ones of a higher hash.
func (t *Table) rank(key string, order func(other *Instance) int) int {
	own := xxhash.Sum64String(key + "/" + t.opts.Name)
	t.mu.Lock()
	defer t.mu.Unlock()
	rank := 0
	for name, p := range t.peers {
		if cmp.Or(order(&p.instance), cmp.Compare(xxhash.Sum64String(key+"/"+name), own)) > 0 {
			rank++
		}
	}
	return rank
}
