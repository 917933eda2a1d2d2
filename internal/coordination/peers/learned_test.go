package peers_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/coordination/peers"
	"medlarslip/internal/coordination/workload"
)

// TestLearnedReachesAll guards against instances that are not told what others learned: all others
// in a small fleet, and in a large one the members by the leaders and the leaders by all.
func TestLearnedReachesAll(t *testing.T) {
	for _, size := range []int{10, 40} {
		t.Run(fmt.Sprint(size), inFleet(size, func(f *fleet) {
			learned := func(_ string, leads bool) *workload.Report { return &workload.Report{Fleet: !leads} }
			f.learned.Store(&learned)
			time.Sleep(3 * time.Second)
			for _, m := range f.members {
				senders := 0
				m.learnedFrom.Range(func(_, fleet any) bool {
					must.Eq(t, !m.table.Leads(), fleet.(bool))
					senders++
					return true
				})
				if m.table.Leads() || size <= 21 {
					must.Eq(t, size-1, senders)
				} else {
					must.Eq(t, peers.Leaders, senders)
				}
			}
		}))
	}
}
