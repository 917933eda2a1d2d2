package billing_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/coordination/billing"
	"medlarslip/internal/protocol/platform"
	"medlarslip/internal/protocol/records"
	"medlarslip/internal/standin/logservice"
)

// fleet is a few instances that copy bills to each other in memory.
type fleet struct {
	log     *logservice.Service
	domains []string
	nodes   []*node
}

type node struct {
	fleet  *fleet
	index  int
	dead   atomic.Bool
	writer *billing.Writer
	holder *billing.CopyHolder
	mirror *billing.Mirror
	stop   context.CancelFunc
	group  sync.WaitGroup
}

func newFleet(domains ...string) *fleet {
	f := &fleet{log: logservice.New(0), domains: domains}
	for i, domain := range domains {
		n := &node{fleet: f, index: i}
		n.mirror = billing.NewMirror(name(i), "first", domain, f, n)
		n.writer = billing.New(n, n.mirror, name(i), "first")
		n.mirror.SetPending(n.writer.Pending)
		n.holder = billing.NewCopyHolder(n)
		f.nodes = append(f.nodes, n)
		ctx, stop := context.WithCancel(context.Background())
		n.stop = stop
		for _, run := range []func(context.Context) error{n.writer.Run, n.mirror.Run, n.holder.Run} {
			n.group.Go(func() { _ = run(ctx) })
		}
	}
	return f
}

func name(i int) string { return fmt.Sprint("entry-", i) }

// EntryInstances implements billing.Fleet.
func (f *fleet) EntryInstances() []platform.Instance {
	list := []platform.Instance{}
	for i, domain := range f.domains {
		list = append(list, platform.Instance{ID: name(i), ControlAddress: name(i), FailureDomain: domain})
	}
	return list
}

var errDown = errors.New("down")

// Hold implements billing.Holders.
func (n *node) Hold(_ context.Context, address string, message *records.BillCopy) error {
	for _, other := range n.fleet.nodes {
		if name(other.index) == address && !other.dead.Load() && !n.dead.Load() {
			return other.holder.Hold(message)
		}
	}
	return errDown
}

// Append implements eventlog.Log.
func (n *node) Append(ctx context.Context, stream string, raws []json.RawMessage) (int64, error) {
	if n.dead.Load() {
		return 0, errDown
	}
	return n.fleet.log.Append(ctx, stream, raws)
}

// Read implements eventlog.Log.
func (n *node) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (*platform.ReadResponse, error) {
	return n.fleet.log.Read(ctx, stream, from, limit, wait)
}

func (f *fleet) stopAll() {
	for _, n := range f.nodes {
		n.stop()
	}
	for _, n := range f.nodes {
		n.group.Wait()
	}
	time.Sleep(time.Second) // the last copies end
}

func (f *fleet) report(t *testing.T) *billing.Report {
	page, err := f.log.Read(context.Background(), platform.StreamBilling, 0, 1_000_000, 0)
	must.NoError(t, err)
	totals := billing.NewTotals()
	for _, raw := range page.Records {
		totals.Add(raw)
	}
	return totals.Report(page.FirstOffset, page.Next)
}

func (n *node) bill(request int) {
	n.writer.Bill(context.Background(), &records.Bill{
		RequestID: fmt.Sprint(name(n.index), "/", request), Account: "technicians", Outcome: "answered",
		Steps: []records.BillStep{
			{VersionID: "small-1", Tokens: 10, Micros: 1, Result: "below_target"},
			{VersionID: "large-1", Tokens: 10, Micros: 10, Result: "accepted"},
		},
	})
}

func TestBillsSurviveOneLoss(t *testing.T) {
	cases := []struct {
		name string
		// outage is how long the log is away from the start.
		outage time.Duration
		// lost is the instance that dies after its last bill; -1 for none.
		lost int
		// thenLost dies 10 s later.
		thenLost int
		// faults are those of the appends in order.
		faults []logservice.Fault
	}{
		{"nothing fails", 0, -1, -1, nil},
		{"the owner dies before its first append", 0, 0, -1, nil},
		{"the holder dies", 0, 1, -1, nil},
		{"the log is away for an hour", time.Hour, -1, -1, nil},
		{"the owner dies while the log is away", time.Hour, 0, -1, nil},
		{"the holder dies while the log is away", time.Hour, 1, -1, nil},
		{"the holder dies and the owner after it while the log is away", time.Hour, 1, 0, nil},
		{"another holder dies and the owner after it while the log is away", time.Hour, 2, 0, nil},
		{"answers of appends are lost", 0, -1, -1, []logservice.Fault{logservice.FaultLoseAnswer, logservice.FaultLoseAnswer, logservice.FaultLoseRequest}},
		{"answers of appends are lost and the owner dies", 0, 0, -1, []logservice.Fault{logservice.FaultLoseAnswer, logservice.FaultLoseAnswer}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { surviveLoss(t, c.outage, []int{c.lost, c.thenLost}, c.faults) })
		})
	}
}

const billsPerTest = 50

func surviveLoss(t *testing.T, outage time.Duration, lost []int, faults []logservice.Fault) {
	f := newFleet("wdh-a", "wdh-b", "wdh-c")
	defer f.stopAll()
	start, appends := time.Now(), 0
	f.log.OnAppend(func(string, []json.RawMessage) logservice.Fault {
		appends++
		if time.Since(start) < outage {
			return logservice.FaultRefuse
		}
		if appends <= len(faults) {
			return faults[appends-1]
		}
		return logservice.FaultNone
	})
	for i := range billsPerTest {
		f.nodes[0].bill(i)
	}
	for _, index := range lost {
		if index >= 0 {
			f.nodes[index].dead.Store(true)
		}
		time.Sleep(10 * time.Second)
	}
	time.Sleep(outage + 2*time.Minute)
	report := f.report(t)
	must.Eq(t, billsPerTest, int(report.Requests))
	must.SliceEmpty(t, report.Gaps)
	must.Eq(t, []billing.Line{
		{Account: "technicians", VersionID: "large-1", Steps: billsPerTest, Tokens: 10 * billsPerTest, Micros: 10 * billsPerTest},
		{Account: "technicians", VersionID: "small-1", Steps: billsPerTest, Failed: billsPerTest, Tokens: 10 * billsPerTest, Micros: billsPerTest},
	}, report.Lines)
}

func TestPlannedStopLeavesNothingBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("wdh-a", "wdh-b")
		for i := range billsPerTest {
			f.nodes[0].bill(i)
		}
		f.stopAll()
		report := f.report(t)
		must.Eq(t, billsPerTest, int(report.Requests))
		must.SliceEmpty(t, report.Gaps)
	})
}

func TestBillWithoutOtherFailureDomainWaitsForTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("wdh-a", "wdh-a")
		defer f.stopAll()
		f.nodes[0].bill(1)
		must.Eq(t, 1, int(f.report(t).Requests))
	})
}

func TestTotalsReportGapsAndRepeats(t *testing.T) {
	totals := billing.NewTotals()
	add := func(sequence uint64, request string) {
		raw, err := json.Marshal(records.Bill{Writer: records.Writer{Instance: "entry-1", Incarnation: "a", Sequence: sequence}, RequestID: request, Account: "planners"})
		must.NoError(t, err)
		totals.Add(raw)
	}
	add(1, "r1")
	add(2, "r2")
	add(2, "r2")
	add(5, "r5")
	totals.Add(json.RawMessage(`{"half`))
	report := totals.Report(0, 5)
	must.Eq(t, 3, int(report.Requests))
	must.Eq(t, 1, int(report.Repeats))
	must.Eq(t, 1, int(report.Unreadable))
	must.Eq(t, []billing.Gap{{Instance: "entry-1", Incarnation: "a", First: 3, Last: 4}}, report.Gaps)
}
