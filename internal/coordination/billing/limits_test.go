package billing_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/coordination/billing"
	"medlarslip/internal/protocol/records"
	"medlarslip/internal/standin/logservice"
)

// TestBillsStayWithinTheirMemory guards against bills that exhaust the memory of a small machine while the log takes
// none: an instance must refuse requests at the limit, and accept them again once the log has the bills.
func TestBillsStayWithinTheirMemory(t *testing.T) {
	const limit, most = 4 << 10, 1000
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("a", "b")
		defer f.stopAll()
		writer := f.nodes[0].writer
		writer.LimitPending(limit)
		f.log.SetOutage(true)
		count := 0
		for ; count < most && !writer.Full(); count++ {
			f.nodes[0].bill(count)
		}
		must.Less(t, most, count)
		bills, _ := writer.Pending()
		size := 0
		for i := range bills {
			raw, err := json.Marshal(&bills[i])
			must.NoError(t, err)
			size += len(raw)
		}
		must.Len(t, count, bills)
		must.Less(t, limit+size/count+1, size)
		f.log.SetOutage(false)
		time.Sleep(time.Minute)
		must.False(t, writer.Full())
		must.Eq(t, int64(count), f.report(t).Requests)
	})
}

// TestCopiesStayWithinTheirMemory is the same for the copies of bills of others. Those of a refused message are refused
// as ErrHolderFull, so that their owner asks another instance.
func TestCopiesStayWithinTheirMemory(t *testing.T) {
	const limit, most = 4 << 10, 1000
	holder := billing.NewCopyHolder(logservice.New(0))
	holder.Limit(limit)
	size, sequence := 0, uint64(0)
	var err error
	for ; err == nil && sequence < most; sequence++ {
		bill := records.Bill{Writer: records.Writer{Sequence: sequence + 1}, RequestID: fmt.Sprint(sequence), Account: "technicians"}
		if err = holder.Hold(&records.BillCopy{Writer: records.Writer{Instance: "entry-1"}, Bills: []records.Bill{bill}}); err == nil {
			raw, _ := json.Marshal(&bill)
			size += len(raw)
		}
	}
	must.ErrorIs(t, err, billing.ErrHolderFull)
	must.LessEq(t, limit, size)
	must.Greater(t, limit/2, size)
	must.NoError(t, holder.Hold(&records.BillCopy{Writer: records.Writer{Instance: "entry-1"}, Appended: sequence}))
	must.NoError(t, holder.Hold(&records.BillCopy{Writer: records.Writer{Instance: "entry-2"}, Bills: []records.Bill{{RequestID: "other"}}}))
}
