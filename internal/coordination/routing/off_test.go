package routing_test

import (
	"encoding/binary"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/coordination/routing"
	"medlarslip/internal/state/backends"
)

// decisionsHash draws servers, reports and requests of all kinds from a seed, and
// returns a hash of the servers that are chosen.
func decisionsHash(seed uint64) uint64 {
	random := newRandom(seed)
	sum := fnv.New64a()
	for range 40 {
		view := newList(1 + random.IntN(150))
		for i := range view {
			drawState(view[i], random)
		}
		for range 50 {
			decision := routing.Decide(drawRequest(random), view, random)
			index := -1
			if chosen := decision.Chosen(); chosen != nil {
				index = chosen.Index
			}
			_ = binary.Write(sum, binary.LittleEndian, int64(index))
		}
	}
	return sum.Sum64()
}

func drawState(backend *backends.Backend, random *rand.Rand) {
	for range random.IntN(4) {
		backend.Begin(0)
	}
	if random.IntN(4) > 0 {
		backend.SetLoad(backends.Load{
			Running: random.IntN(13), Waiting: random.IntN(3), Slots: 12, Slowness: 1 + random.Float64(),
			ReadAt: start.Add(-time.Duration(random.IntN(400)) * time.Millisecond),
		})
	}
	backend.BeginPrefill(time.Duration(random.IntN(200)) * time.Millisecond)
	for range random.IntN(3) {
		backend.Begin(0)
	}
}

func drawRequest(random *rand.Rand) *routing.Request {
	return &routing.Request{
		Target: target, Now: start, FailureDomain: "domain-1", Remaining: 4 * time.Second, Entries: 1 + random.IntN(70),
		PrefixHash: uint64(random.IntN(20)), Prefill: time.Duration(random.IntN(100)) * time.Millisecond,
		PrefixPrefill: time.Duration(random.IntN(50)) * time.Millisecond, LongPrompt: random.IntN(2) == 0, LongShare: 0.4,
	}
}

// TestDecisionsByLoadAreUnchanged guards against a change of the decisions where
// placement by cost is off, also where servers report slots and slowness. The hashes
// are those of the version before placement by cost.
func TestDecisionsByLoadAreUnchanged(t *testing.T) {
	for seed, want := range map[uint64]uint64{1: 9570940930071382678, 2: 8946067689954901351, 3: 10159062761528755148} {
		must.Eq(t, want, decisionsHash(seed), must.Sprint(seed))
	}
}
