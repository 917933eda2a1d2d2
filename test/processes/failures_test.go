package processes_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"medlarslip/internal/protocol/platform"
	"medlarslip/internal/protocol/records"
	"medlarslip/internal/protocol/refusal"
	"medlarslip/internal/standin/localfleet"
	"medlarslip/internal/standin/logservice"
	"medlarslip/internal/standin/serviceserver"
)

const (
	bookers        = 8
	chatters       = 2
	triesPerKey    = 6
	frozenFor      = 6 * time.Second
	outageFor      = 4 * time.Second
	recoveryLimit  = 90 * time.Second
	bookingsPath   = "/v1/services/ledger/bookings"
	faultsPerMille = 50 // of appends and of bookings
)

// told is what one caller was told of one key, in order.
type told struct {
	key     string
	booked  bool
	unsure  bool
	notRun  bool
	falsely string
}

// bench is a fleet of processes under load.
type bench struct {
	t       *testing.T
	fleet   *localfleet.Fleet
	entries []*entryProcess
	done    atomic.Bool

	mu       sync.Mutex
	keys     []told
	answered []string
}

func newBench(t *testing.T) *bench {
	t.Helper()
	binary := buildEntry(t)
	b := &bench{t: t, fleet: localfleet.New(t)}
	for i, failureDomain := range []string{"wdh-a", "wdh-b", "wdh-a"} {
		b.entries = append(b.entries, newEntryProcess(t, b.fleet, binary, fmt.Sprintf("entry-%d", i+1), failureDomain))
	}
	for _, entry := range b.entries {
		entry.start()
		b.fleet.AwaitReady(entry.settings.Listen.Callers)
	}
	return b
}

func (b *bench) address(random *rand.Rand) string {
	return b.entries[random.IntN(len(b.entries))].settings.Listen.Callers
}

// book sends bookings, repeating each through other entries until it is told
// that it was booked or its tries are over.
func (b *bench) book(worker int) {
	random := rand.New(rand.NewPCG(1, uint64(worker)))
	for number := 0; !b.done.Load(); number++ {
		seen := told{key: fmt.Sprintf("key-%d-%d", worker, number)}
		for range 1 + random.IntN(triesPerKey) {
			if b.bookOnce(&seen, b.address(random)); seen.booked {
				break
			}
			time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
		}
		b.mu.Lock()
		b.keys = append(b.keys, seen)
		b.mu.Unlock()
	}
}

func (b *bench) bookOnce(seen *told, address string) {
	reply, err := localfleet.Call(address, fasthttp.MethodPost, bookingsPath, "{}", seen.key)
	seen.notRun = false
	if err != nil {
		seen.unsure = true
		return
	}
	if reply.Status == fasthttp.StatusCreated || reply.Status == fasthttp.StatusOK {
		seen.booked = true
		return
	}
	var refused refusal.Body
	if json.Unmarshal([]byte(reply.Body), &refused) != nil || refused.Error.Outcome != refusal.NotRun {
		seen.unsure = true
		return
	}
	seen.notRun = true
	// Where no earlier try may still be under way, not_run must be true now.
	if !seen.unsure && b.fleet.Ledger.Count(seen.key) > 0 {
		seen.falsely = reply.Body
	}
}

// chat sends chat requests and notes those that were answered whole.
func (b *bench) chat(worker int) {
	random := rand.New(rand.NewPCG(2, uint64(worker)))
	for !b.done.Load() {
		reply, err := localfleet.Call(b.address(random), fasthttp.MethodPost, "/v1/chat/completions", localfleet.ChatBody(false), "")
		if err != nil || reply.Status != fasthttp.StatusOK {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		b.mu.Lock()
		b.answered = append(b.answered, reply.RequestID)
		b.mu.Unlock()
	}
}

// disturb shows the faults of the platform and the ledger, by a fixed seed.
func (b *bench) disturb() {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(3, 3))
	strikes := func() bool {
		mu.Lock()
		defer mu.Unlock()
		return random.IntN(1000) < faultsPerMille
	}
	b.fleet.Log.OnAppend(func(string, []json.RawMessage) logservice.Fault {
		if strikes() {
			return logservice.FaultLoseAnswer
		}
		return logservice.FaultNone
	})
	b.fleet.Ledger.OnBooking(func(string) serviceserver.Fault {
		if strikes() {
			return serviceserver.FaultLoseAnswer
		}
		return serviceserver.FaultNone
	})
}

// fail brings about the failures one after the other.
func (b *bench) fail() {
	b.disturb()
	time.Sleep(time.Second)
	b.entries[0].kill()
	time.Sleep(2 * time.Second)
	b.entries[0].start()
	b.entries[1].freeze()
	time.Sleep(frozenFor)
	b.entries[1].thaw()
	time.Sleep(time.Second)
	b.fleet.Log.SetOutage(true)
	time.Sleep(outageFor)
	b.fleet.Log.SetOutage(false)
	b.disturb()
	time.Sleep(2 * time.Second)
	b.entries[2].kill()
	b.entries[1].freeze()
	time.Sleep(time.Second)
	b.entries[2].start()
	b.entries[1].thaw()
	time.Sleep(2 * time.Second)
}

func TestNothingIsDoubledLostOrFalselyRefusedUnderFailures(t *testing.T) {
	b := newBench(t)
	var wg sync.WaitGroup
	for worker := range bookers {
		wg.Go(func() { b.book(worker) })
	}
	for worker := range chatters {
		wg.Go(func() { b.chat(worker) })
	}
	b.fail()
	b.done.Store(true)
	wg.Wait()
	b.fleet.Log.SetOutage(false)
	b.fleet.Ledger.OnBooking(nil)
	b.checkBills()
	for _, entry := range b.entries {
		entry.stop()
	}
	b.checkBookings()
}

// checkBookings compares what callers were told with the ledger's record.
func (b *bench) checkBookings() {
	booked := 0
	for _, seen := range b.keys {
		count := b.fleet.Ledger.Count(seen.key)
		must.LessEq(b.t, 1, count, must.Sprintf("%s was booked %d times", seen.key, count))
		must.Eq(b.t, "", seen.falsely, must.Sprintf("%s was booked and refused as not run", seen.key))
		if seen.booked {
			booked++
			must.Eq(b.t, 1, count, must.Sprintf("%s was reported as booked", seen.key))
		}
		if seen.notRun && !seen.unsure {
			must.Eq(b.t, 0, count, must.Sprintf("%s was refused as not run and booked later", seen.key))
		}
	}
	b.t.Logf("%d keys, %d booked, %d in the ledger", len(b.keys), booked, len(b.fleet.Ledger.Bookings()))
	must.Positive(b.t, booked)
}

// checkBills waits until every answered request is on the billing stream.
func (b *bench) checkBills() {
	b.t.Helper()
	deadline := time.Now().Add(recoveryLimit)
	missing := b.unbilled()
	for len(missing) > 0 && time.Now().Before(deadline) {
		time.Sleep(500 * time.Millisecond)
		missing = b.unbilled()
	}
	b.t.Logf("%d chat requests answered, %d without a bill", len(b.answered), len(missing))
	must.SliceEmpty(b.t, missing)
	must.Positive(b.t, len(b.answered))
}

func (b *bench) unbilled() []string {
	const pageSize = 1000
	billed := map[string]bool{}
	for from := int64(0); ; {
		page, err := b.fleet.Log.Read(context.Background(), platform.StreamBilling, from, pageSize, 0)
		must.NoError(b.t, err)
		if len(page.Records) == 0 {
			break
		}
		for _, raw := range page.Records {
			var bill records.Bill
			must.NoError(b.t, json.Unmarshal(raw, &bill))
			billed[bill.RequestID] = true
		}
		from = page.FirstOffset + int64(len(page.Records))
	}
	var missing []string
	for _, id := range b.answered {
		if !billed[id] {
			missing = append(missing, id)
		}
	}
	return missing
}
