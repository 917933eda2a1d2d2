package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"

	"medlarslip/internal/state/backends"
)

// hashedView is a view of servers of given hashes, of which every one whose entry is false is
// refused by a filter.
type hashedView struct {
	hashes   []uint64
	eligible []bool
}

func (v *hashedView) Len() int          { return len(v.hashes) }
func (v *hashedView) Hash(i int) uint64 { return v.hashes[i] }
func (v *hashedView) Snapshot(i int) backends.Snapshot {
	return backends.Snapshot{Server: backends.Server{ID: fmt.Sprint(i), Serves: []string{"v"}, Leaving: !v.eligible[i]}}
}

// TestPrefixOwnersAreThoseOfAFullComparison guards against owners that differ from those of the
// highest weights among all eligible servers, also with equal weights, in views of any size and
// with any share of eligible servers.
func TestPrefixOwnersAreThoseOfAFullComparison(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for _, count := range []int{0, 1, 2, 7, 8, 9, 40, 600} {
		for _, share := range []float64{0, 0.01, 0.1, 0.5, 1} {
			for _, distinct := range []uint64{3, 1 << 60} {
				for range 50 {
					view := &hashedView{}
					for range count {
						view.hashes = append(view.hashes, random.Uint64N(distinct))
						view.eligible = append(view.eligible, random.Float64() < share)
					}
					req := &Request{Target: "v", PrefixHash: 1 + random.Uint64N(1<<62)}
					first, second := prefixOwners(req, view, new(indexSet))
					wantFirst, wantSecond := prefixOwnersOfAll(req, view, new(Candidate), new(indexSet))
					must.Eq(t, [2]int{wantFirst, wantSecond}, [2]int{first, second})
				}
			}
		}
	}
}
