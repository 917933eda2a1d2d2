package gateway

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/state/backends"
)

// TestWaitingRequestsSpreadOverServers guards against instances that all send their waiting requests to
// the one server which looks free in a report that they all have read: the server then has to refuse
// most of them.
func TestWaitingRequestsSpreadOverServers(t *testing.T) {
	const instances, servers, waiting = 40, 20, 10
	for free := 1; free <= servers; free += 6 {
		synctest.Test(t, func(t *testing.T) {
			kinds := pressureKinds(1)
			kinds[1].hold = 4 * time.Second
			f := newPressureFleet(instances, map[string]int{"models": servers}, kinds, true)
			report := func(id string, running int) {
				for _, g := range f.gateways {
					g.Servers.Get(id).SetLoad(backends.Load{Running: running, Slots: 12, ReadAt: time.Now()})
				}
			}
			for i := range servers {
				report(fmt.Sprintf("models-%d", i), 12)
			}
			for i := range f.gateways {
				for range waiting {
					go f.send(t.Context(), i, &f.kinds[1], accountOf(0), time.Now())
				}
			}
			for range 3 {
				time.Sleep(300 * time.Millisecond)
				f.exchange()
			}
			time.Sleep(100 * time.Millisecond)
			synctest.Wait()
			f.mu.Lock()
			must.MapEmpty(t, f.received)
			f.mu.Unlock()
			for i := range free {
				report(fmt.Sprintf("models-%d", i), 0)
			}
			for _, g := range f.gateways {
				g.capacity.Notify("models")
			}
			time.Sleep(100 * time.Millisecond)
			synctest.Wait()
			f.mu.Lock()
			most, total := 0, 0
			for _, count := range f.received {
				most, total = max(most, count), total+count
			}
			f.mu.Unlock()
			t.Logf("%d servers look free: %d requests sent, %d to one server", free, total, most)
			must.Positive(t, total)
			must.LessEq(t, 3*instances*waiting/servers, most)
			time.Sleep(time.Minute)
		})
	}
}
