package settings_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"medlarslip/internal/protocol/settings"
)

// Settings must not allow bodies that the limit on callers' memory would always refuse.
func TestLargestBodyFitsTheMemoryOfCallers(t *testing.T) {
	const remedy = "limits.max_body_bytes"
	for _, c := range []struct {
		memoryMB, maxBody int
		valid             bool
	}{
		{0, 64 << 20, true},
		{112, 4 << 20, true},
		{64, 3 << 20, true},
		{64, 8 << 20, false},
		{1152, 64 << 20, true},
	} {
		s := &settings.Entry{Limits: settings.Limits{MemoryMB: c.memoryMB, MaxBodyBytes: c.maxBody}}
		err := s.Validate()
		must.Error(t, err)
		if c.valid {
			must.StrNotContains(t, err.Error(), remedy)
		} else {
			must.StrContains(t, err.Error(), remedy)
		}
	}
	err := (&settings.Entry{Limits: settings.Limits{MemoryMB: -1}}).Validate()
	must.StrContains(t, err.Error(), "limits.memory_mb")
}

// Shares of memory must fit in the heap limit together, since each of them may be used up at the same time. At 512 MB
// bills must have what they may occupy without a limit of memory, and without one there must be no bound.
func TestSharesOfMemoryFitTheHeap(t *testing.T) {
	const process, ownBills, billCopies = 16 << 20, 24 << 20, 32 << 20
	for memoryMB := 134; memoryMB <= 4096; memoryMB++ {
		l := settings.Limits{MemoryMB: memoryMB}
		callers, _ := l.ClientBytes()
		own, copies := l.BillBytes()
		must.Positive(t, own)
		must.Positive(t, copies)
		own, copies = min(own, ownBills), min(copies, billCopies)
		all := process + callers + l.LateRatingBytes() + l.KeyBytes() + l.AnswerBytes() + l.LogPageBytes() + own + copies
		must.LessEq(t, l.HeapBytes(), all, must.Sprintf("%d MB", memoryMB))
		if memoryMB >= 512 {
			must.Eq(t, ownBills, own)
			must.Eq(t, billCopies, copies)
		}
	}
	var none settings.Limits
	must.Zero(t, none.KeyBytes()+none.AnswerBytes()+none.LogPageBytes())
	own, copies := none.BillBytes()
	must.Zero(t, own+copies)
}
