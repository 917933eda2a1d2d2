package gossip

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// fanout is how many members an instance begins exchanges with.
const fanout = 3

// neighbours returns the members that self exchanges with. All members stand
// on a ring in the order of the hashes of their IDs; the neighbours stand at
// distances that grow geometrically (as the fingers of Chord, Stoica et al.,
// 2001), so that an entry reaches n members in a number of steps that grows
// with the logarithm of n, over a fixed number of connections each.
func neighbours(self string, ids []string) []string {
	others := slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return id == self })
	own := xxhash.Sum64String(self)
	slices.SortFunc(others, func(a, b string) int {
		// Distances on the ring, clockwise from self.
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a)-own, xxhash.Sum64String(b)-own), cmp.Compare(a, b))
	})
	var chosen []string
	for i := range fanout {
		distance := int(math.Round(math.Pow(float64(len(others)+1), float64(i)/fanout)))
		if distance = max(distance, len(chosen)+1); distance <= len(others) {
			chosen = append(chosen, others[distance-1])
		}
	}
	return chosen
}
