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
	bookingWorkers    = 8
	chatWorkers       = 2
	maxAttemptsPerKey = 6
	pauseDuration     = 6 * time.Second
	outageDuration    = 4 * time.Second
	billingTimeout    = 90 * time.Second
	bookingsPath      = "/v1/services/ledger/bookings"
	faultsPerMille    = 50 // of appends and of bookings, whose answers are lost
)

// bookingResult is the result of the attempts to book one key. outcomeUnknown is set
// once an attempt may still be in flight, notRun if the last one was refused as not
// run, and falseRefusal is the body of a refusal as not run of a booked key.
type bookingResult struct {
	key            string
	booked         bool
	outcomeUnknown bool
	notRun         bool
	falseRefusal   string
}

// loadTest is a fleet of entry processes under load.
type loadTest struct {
	t       *testing.T
	fleet   *localfleet.Fleet
	entries []*entryProcess
	done    atomic.Bool

	mu       sync.Mutex
	keys     []bookingResult
	answered []string
}

func newLoadTest(t *testing.T) *loadTest {
	t.Helper()
	binary := buildEntry(t)
	b := &loadTest{t: t, fleet: localfleet.New(t)}
	for i, failureDomain := range []string{"wdh-a", "wdh-b", "wdh-a"} {
		b.entries = append(b.entries, newEntryProcess(t, b.fleet, binary, fmt.Sprintf("entry-%d", i+1), failureDomain))
	}
	for _, entry := range b.entries {
		entry.start()
		b.fleet.AwaitReady(entry.settings.Listen.Callers)
	}
	return b
}

func (b *loadTest) address(random *rand.Rand) string {
	return b.entries[random.IntN(len(b.entries))].settings.Listen.Callers
}

// book sends bookings, and retries each through random entries until one reports it
// as booked or its attempts are used up.
func (b *loadTest) book(worker int) {
	random := rand.New(rand.NewPCG(1, uint64(worker)))
	for number := 0; !b.done.Load(); number++ {
		seen := bookingResult{key: fmt.Sprintf("key-%d-%d", worker, number)}
		for range 1 + random.IntN(maxAttemptsPerKey) {
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

func (b *loadTest) bookOnce(seen *bookingResult, address string) {
	reply, err := localfleet.Call(address, fasthttp.MethodPost, bookingsPath, "{}", seen.key)
	seen.notRun = false
	if err != nil {
		seen.outcomeUnknown = true
		return
	}
	if reply.Status == fasthttp.StatusCreated || reply.Status == fasthttp.StatusOK {
		seen.booked = true
		return
	}
	var refused refusal.Body
	if json.Unmarshal([]byte(reply.Body), &refused) != nil || refused.Error.Outcome != refusal.NotRun {
		seen.outcomeUnknown = true
		return
	}
	seen.notRun = true
	// not_run must be true now, unless an earlier attempt may still be in flight.
	if !seen.outcomeUnknown && b.fleet.Ledger.Count(seen.key) > 0 {
		seen.falseRefusal = reply.Body
	}
}

// chat sends chat requests and records those that were answered completely.
func (b *loadTest) chat(worker int) {
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

// injectLostAnswers makes the log service and the ledger lose a share of their
// answers, with a fixed seed.
func (b *loadTest) injectLostAnswers() {
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

// injectFailures kills and pauses entries and makes the log service unavailable, in
// a fixed order.
func (b *loadTest) injectFailures() {
	b.injectLostAnswers()
	time.Sleep(time.Second)
	b.entries[0].kill()
	time.Sleep(2 * time.Second)
	b.entries[0].start()
	b.entries[1].pause()
	time.Sleep(pauseDuration)
	b.entries[1].resume()
	time.Sleep(time.Second)
	b.fleet.Log.SetOutage(true)
	time.Sleep(outageDuration)
	b.fleet.Log.SetOutage(false)
	b.injectLostAnswers()
	time.Sleep(2 * time.Second)
	b.entries[2].kill()
	b.entries[1].pause()
	time.Sleep(time.Second)
	b.entries[2].start()
	b.entries[1].resume()
	time.Sleep(2 * time.Second)
}

// TestNothingIsDoubledLostOrFalselyRefusedUnderFailures guards against keys that are
// booked twice, reported as booked but missing, or refused as not run although they
// run, and against lost bills of answered chat requests, when entries are killed or
// paused, answers are lost, and the log service is down.
func TestNothingIsDoubledLostOrFalselyRefusedUnderFailures(t *testing.T) {
	b := newLoadTest(t)
	var wg sync.WaitGroup
	for worker := range bookingWorkers {
		wg.Go(func() { b.book(worker) })
	}
	for worker := range chatWorkers {
		wg.Go(func() { b.chat(worker) })
	}
	b.injectFailures()
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

// checkBookings compares the results of callers with the record of the ledger.
func (b *loadTest) checkBookings() {
	booked := 0
	for _, seen := range b.keys {
		count := b.fleet.Ledger.Count(seen.key)
		must.LessEq(b.t, 1, count, must.Sprintf("%s was booked %d times", seen.key, count))
		must.Eq(b.t, "", seen.falseRefusal, must.Sprintf("%s was booked and refused as not run", seen.key))
		if seen.booked {
			booked++
			must.Eq(b.t, 1, count, must.Sprintf("%s was reported as booked", seen.key))
		}
		if seen.notRun && !seen.outcomeUnknown {
			must.Eq(b.t, 0, count, must.Sprintf("%s was refused as not run and booked later", seen.key))
		}
	}
	b.t.Logf("%d keys, %d booked, %d in the ledger", len(b.keys), booked, len(b.fleet.Ledger.Bookings()))
	must.Positive(b.t, booked)
}

// checkBills waits until every answered chat request is in the billing stream.
func (b *loadTest) checkBills() {
	b.t.Helper()
	deadline := time.Now().Add(billingTimeout)
	missing := b.unbilled()
	for len(missing) > 0 && time.Now().Before(deadline) {
		time.Sleep(500 * time.Millisecond)
		missing = b.unbilled()
	}
	b.t.Logf("%d chat requests answered, %d without a bill", len(b.answered), len(missing))
	must.SliceEmpty(b.t, missing)
	must.Positive(b.t, len(b.answered))
}

func (b *loadTest) unbilled() []string {
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
