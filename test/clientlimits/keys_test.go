package clientlimits_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"medlarslip/internal/protocol/platform"
	"medlarslip/internal/standin/localfleet"
	"medlarslip/internal/standin/loopback"
)

const (
	// bookingClients is the number of clients that book, each one call after another, and bookingsEach the number of
	// their bookings. The responses of all 5,120 occupy more than the machine has.
	bookingClients = 64
	bookingsEach   = 80
	// bookingAnswer is the size of a response to a booking, the largest that is kept with its key.
	bookingAnswer = 16 << 10
)

// answerTo returns the response of the service to a booking, which is different for each key.
func answerTo(key string) string {
	return strings.Repeat(key+";", bookingAnswer/len(key))[:bookingAnswer]
}

// startBookings starts a fleet with a service whose bookings have large responses. The function booked returns the
// number of runs of a key.
func startBookings(t *testing.T) (fleet *localfleet.Fleet, booked func(key string) int) {
	t.Helper()
	var mu sync.Mutex
	counts := map[string]int{}
	fleet = localfleet.New(t)
	fleet.AddBackend("archive-1", platform.RoleService, loopback.Serve(t, func(ctx *fasthttp.RequestCtx) {
		key := string(ctx.Request.Header.Peek("Idempotency-Key"))
		if key == "" {
			return // a probe of the server
		}
		mu.Lock()
		counts[key]++
		mu.Unlock()
		ctx.SetBodyString(answerTo(key))
	}), "archive")
	document := strings.ReplaceAll(localfleet.Document, "allowed_services: [ledger]", "allowed_services: [ledger, archive]")
	fleet.Publish(strings.ReplaceAll(document, "plain_services:\n", "plain_services:\n  - {name: archive, timeout_ms: 10000, non_idempotent: [{method: POST, path_prefix: /bookings}], status_path: \"\"}\n"))
	return fleet, func(key string) int {
		mu.Lock()
		defer mu.Unlock()
		return counts[key]
	}
}

// book makes a booking, and reports whether it got the response of its key.
func (i *instance) book(key string) bool {
	r, err := localfleet.Call(i.front, fasthttp.MethodPost, "/v1/services/archive/bookings", "b", key)
	return err == nil && r.Status == http.StatusOK && string(r.Body) == answerTo(key)
}

// bookAll makes all bookings, and returns the keys of those that got no response in testTime although they were
// repeated.
func (i *instance) bookAll() (missing []string) {
	var mu sync.Mutex
	var clients sync.WaitGroup
	for client := range bookingClients {
		clients.Go(func() {
			for n := range bookingsEach {
				key := bookingKey(client, n)
				end := time.Now().Add(testTime)
				done := i.book(key)
				for ; !done && time.Now().Before(end); done = i.book(key) {
					time.Sleep(100 * time.Millisecond)
				}
				if !done {
					mu.Lock()
					missing = append(missing, key)
					mu.Unlock()
				}
			}
		})
	}
	clients.Wait()
	return missing
}

func bookingKey(client, n int) string { return fmt.Sprintf("key-%d-%d", client, n) }

// The responses that are kept with idempotency keys must not exhaust memory (they took 127 MiB of 64). No key may be
// removed instead: each call must run once, and its repetition must get its response.
func TestEntryKeys(t *testing.T) {
	fleet, booked := startBookings(t)
	i := startEntryBefore(t, fleet, memoryMB, nil)
	i.eventually(t, "no booking runs", func() bool { return i.book("first") })
	must.SliceEmpty(t, i.bookAll(), must.Sprint("bookings without a response"))
	must.SliceEmpty(t, i.bookAll(), must.Sprint("repetitions without the response"))
	i.checkServes(t)
	for client := range bookingClients {
		for n := range bookingsEach {
			key := bookingKey(client, n)
			must.Eq(t, 1, booked(key), must.Sprint(key))
		}
	}
}
