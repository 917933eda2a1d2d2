package gossip

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// fanout is the number of members with which an instance initiates exchanges.
const fanout = 3

// neighbours returns the members with which self initiates exchanges. All members
// form a ring, ordered by the hashes of their IDs. The neighbours are at distances
// that grow geometrically (like the fingers of Chord, Stoica et al., 2001), so that
// an entry reaches n members in a number of steps logarithmic in n, with a fixed
// number of connections per member.
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
