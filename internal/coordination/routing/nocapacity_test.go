package routing_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/coordination/routing"
	"medlarslip/internal/coordination/workload"
	"medlarslip/internal/state/backends"
)

// noCapacity returns a decision by expected cost over full servers, of which none is eligible.
func noCapacity(servers int) func() routing.Decision {
	view := newList(servers)
	for i := range view {
		view[i].SetLoad(backends.Load{Running: 12, Waiting: 4, Slots: 12, ReadAt: start})
	}
	var estimators workload.Estimators
	run := workload.Request{Service: "s", Route: "r", Model: "m", Stream: true, Prefill: time.Second, Shared: time.Second / 2, Hint: 40}
	req := &routing.Request{
		Target: target, Now: start, Entries: 60, Prefill: time.Second, PrefixPrefill: time.Second / 2, LongPrompt: true, LongShare: 0.5,
		PrefixHash: 77, Remaining: 4 * time.Second, Expected: estimators.Expect(&run, start), EligibleOnly: true,
		Admit: func(server *backends.Snapshot) string {
			if server.Load.Running >= server.Load.Slots {
				return "full"
			}
			return ""
		},
	}
	random := newRandom(1)
	return func() routing.Decision { return routing.Decide(req, view, random) }
}

// TestDecisionWithoutCapacityIsBounded guards against decisions that allocate memory for each
// server while none has capacity: waiting requests make thousands of them per second then.
func TestDecisionWithoutCapacityIsBounded(t *testing.T) {
	const runs, maxBytes, maxAllocations = 100, 2048, 4
	for _, servers := range []int{140, 600} {
		decide := noCapacity(servers)
		must.Nil(t, decide().Chosen())
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for range runs {
			decide()
		}
		runtime.ReadMemStats(&after)
		must.LessEq(t, maxBytes, (after.TotalAlloc-before.TotalAlloc)/runs, must.Sprint(servers, "servers"))
		must.LessEq(t, maxAllocations, (after.Mallocs-before.Mallocs)/runs, must.Sprint(servers, "servers"))
	}
}

// TestOmittedServersDoNotChangeTheChoice guards against a decision that chooses another server, or
// none, where dropped servers are not listed or known to be refused beforehand.
func TestOmittedServersDoNotChangeTheChoice(t *testing.T) {
	random := newRandom(7)
	chosen := 0
	for _, servers := range []int{1, 12, 40, 140, 1100} {
		view := newList(servers)
		for i := range view {
			view[i].SetLoad(backends.Load{Running: i % 12, Slots: 12, ReadAt: start})
		}
		for _, share := range []float64{0, 0.02, 0.3, 1} {
			admitted := map[string]bool{}
			for i := range view {
				admitted[view.Snapshot(i).Server.ID] = random.Float64() < share
			}
			for seed := range uint64(30) {
				run := workload.Request{Service: "s", Route: "r", Model: "m", Stream: true, Prefill: time.Second}
				req := routing.Request{Target: target, Now: start, Entries: 9, PrefixHash: seed, Prefill: time.Second, LongShare: 0.5, LongPrompt: seed%2 == 0, Admit: func(server *backends.Snapshot) string {
					if admitted[server.Server.ID] {
						return ""
					}
					return "refused"
				}}
				if seed%3 == 0 {
					req.Expected = new(workload.Estimators).Expect(&run, start)
				}
				want := routing.Decide(&req, view, newRandom(seed)).Chosen()
				req.EligibleOnly = true
				for _, ineligible := range []func(int) bool{nil, func(i int) bool { return i%3 > 0 && !admitted[view.Snapshot(i).Server.ID] }} {
					req.Ineligible = ineligible
					got := routing.Decide(&req, view, newRandom(seed)).Chosen()
					must.Eq(t, want == nil, got == nil)
					if want != nil {
						chosen++
						must.Eq(t, want.Index, got.Index)
					}
				}
			}
		}
	}
	must.Positive(t, chosen)
}

// countingView counts the copies of each server.
type countingView struct {
	backends.List
	copies map[int]int
}

func (v *countingView) Snapshot(i int) backends.Snapshot {
	v.copies[i]++
	return v.List.Snapshot(i)
}

// TestDroppedServersAreListedAndCopiedOnce guards against a decision that does not list the cause for
// each dropped server where these are recorded, and against one that copies servers repeatedly where
// they are not.
func TestDroppedServersAreListedAndCopiedOnce(t *testing.T) {
	const servers = 140
	req := routing.Request{Target: target, Now: start, PrefixHash: 3, Admit: func(*backends.Snapshot) string { return "full" }}
	decision := routing.Decide(&req, newList(servers), newRandom(1))
	must.Len(t, servers, decision.Candidates)
	for i := range decision.Candidates {
		must.Eq(t, "full", decision.Candidates[i].Dropped)
	}
	req.EligibleOnly = true
	view := &countingView{List: newList(servers), copies: map[int]int{}}
	must.SliceEmpty(t, routing.Decide(&req, view, newRandom(1)).Candidates)
	must.MapLen(t, servers, view.copies)
	for _, copies := range view.copies {
		// The owners of the prompt prefix are sought among eight servers, and then among all.
		must.LessEq(t, 2, copies)
	}
}

// TestServerBeyondTheSetOfDroppedOnesIsFound guards against a server of a large view that counts as
// dropped since another one was.
func TestServerBeyondTheSetOfDroppedOnesIsFound(t *testing.T) {
	view := newList(1100)
	for _, i := range []int{1023, 1024, 1060, 1099} {
		id := view.Snapshot(i).Server.ID
		req := routing.Request{Target: target, Now: start, PrefixHash: 3, EligibleOnly: true, Admit: func(server *backends.Snapshot) string {
			if server.Server.ID == id {
				return ""
			}
			return "full"
		}}
		chosen := routing.Decide(&req, view, newRandom(1)).Chosen()
		must.NotNil(t, chosen)
		must.Eq(t, i, chosen.Index)
	}
}

func BenchmarkDecideWithoutCapacity(b *testing.B) {
	for _, servers := range []int{140, 600} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			decide := noCapacity(servers)
			b.ReportAllocs()
			for b.Loop() {
				decide()
			}
		})
	}
}
