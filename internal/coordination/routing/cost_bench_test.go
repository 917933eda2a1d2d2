package routing_test

import (
	"testing"
	"time"

	"medlarslip/internal/coordination/routing"
	"medlarslip/internal/coordination/workload"
	"medlarslip/internal/state/backends"
)

// benchmarkCost measures one decision by cost for a stream with a prompt, with the estimate
// of what the run takes.
func benchmarkCost(b *testing.B, servers int) {
	view := newList(servers)
	for i := range view {
		view[i].SetLoad(backends.Load{Running: i % 12, Slots: 12, Slowness: 1.5, ReadAt: start})
	}
	var estimators workload.Estimators
	random := newRandom(1)
	prefix := uint64(1)
	b.ReportAllocs()
	for b.Loop() {
		prefix++
		run := workload.Request{Service: "s", Route: "r", Model: "m", Stream: true, Prefill: time.Second, Shared: time.Second / 2, Hint: 40}
		routing.Decide(&routing.Request{
			Target: target, Now: start, Entries: 60, Prefill: time.Second, PrefixPrefill: time.Second / 2, LongPrompt: true, LongShare: 0.5,
			PrefixHash: prefix, Remaining: 4 * time.Second, Expected: estimators.Expect(&run, start),
		}, view, random)
	}
}

func BenchmarkDecideByCost140(b *testing.B) { benchmarkCost(b, 140) }

func BenchmarkDecideByCost600(b *testing.B) { benchmarkCost(b, 600) }
