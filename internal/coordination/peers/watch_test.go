package peers

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/boottime"
	"medlarslip/internal/coordination/suspicion"
)

// newWatchTable returns the table of "i0" in a fleet of 73, of which Listed returns six, and
// the datagram of "i1" that states the suspicion of an instance.
func newWatchTable(watches bool) (t *Table, stating func(instance string) *datagram) {
	now := time.Unix(1000, 0)
	self := Instance{Name: "i0", Run: "1", Weight: 200, Ready: true}
	t = New(Options{
		Name: self.Name, Self: func() Instance { return self },
		Now: func() time.Time { return now }, Clock: func() boottime.Instant { return 1000 },
		OnPayload: func(*Instance, *Payload, boottime.Instant) {},
		Listed:    func([]Instance) []string { return []string{"i0", "i1", "i2", "i3", "i4", "i5"} },
		Watches:   func() bool { return watches }, OnSuspicion: func(suspicion.Change) {},
	})
	for i := 1; i < 73; i++ {
		t.handle(&datagram{Instance: Instance{Name: fmt.Sprint("i", i), Run: "1", Weight: 20, Ready: true}})
	}
	t.updateWatching(t.updateOrder())
	return t, func(instance string) *datagram {
		d := &datagram{Instance: Instance{Name: "i1", Run: "1"}}
		d.Echo.Echoed = 1000
		d.Payload.Suspicions = &suspicion.Report{Decided: []suspicion.Statement{{Instance: instance}}}
		return d
	}
}

// TestStatementsAboutUnknownInstances guards against datagrams with forged names that take
// memory, and against an instance that omits itself from its own directory.
func TestStatementsAboutUnknownInstances(t *testing.T) {
	table, stating := newWatchTable(true)
	table.handle(stating("forged"))
	table.handle(stating("i0"))
	unknown := stating("i2")
	unknown.Instance.Name = "also forged"
	table.handle(unknown)
	must.SliceEmpty(t, table.detector.Suspected())
}

// TestSuspicionsHaveNoEffectWhereNotEnabled guards against directories that change where servers
// are not chosen by expected cost, and against frequent ticks there.
func TestSuspicionsHaveNoEffectWhereNotEnabled(t *testing.T) {
	for _, watches := range []bool{true, false} {
		table, stating := newWatchTable(watches)
		table.handle(stating("i2"))
		want := []string{"i2"}
		if !watches {
			want = nil
		}
		must.Eq(t, want, table.Suspected())
		must.Eq(t, watches, table.detector.Active())
	}
}
