package dispatch_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"medlarslip/internal/coordination/claims"
	"medlarslip/internal/coordination/dispatch"
	"medlarslip/internal/protocol/platform"
	"medlarslip/internal/protocol/records"
	"medlarslip/internal/protocol/refusal"
	"medlarslip/internal/standin/loopback"
	"medlarslip/internal/standin/serviceserver"
	"medlarslip/internal/state/backends"
	"medlarslip/internal/state/requests"
	"medlarslip/internal/transport/httpconn"
	"medlarslip/internal/transport/plainservice"
)

const bookingDocument = `schema: 1
models: []
cascades: []
kinds:
  - {name: report, first_token_ms: 20000, total_ms: 20000, priority: 5, latency_weight: 0}
rollouts: []
client_accounts:
  - name: technicians
    key_hashes: []
    allowed_versions: []
    allowed_services: [ledger, bare]
    default_kind: report
    max_in_flight: 100
plain_services:
  - name: ledger
    timeout_ms: 5000
    non_idempotent: [{method: POST, path_prefix: /bookings}]
    status_path: /bookings/{key}
  - name: bare
    timeout_ms: 5000
    non_idempotent: [{method: POST, path_prefix: /bookings}]
    status_path: ""
failure_domains: []
cold_limits: []
`

// recordingBookings is what the router reports of its send.
type recordingBookings struct {
	answer     *records.KeptAnswer
	mayHaveRun bool
	err        error
	status     *records.KeptAnswer
}

// Do implements dispatch.Bookings: it sends at once and reads the status.
func (c *recordingBookings) Do(ctx context.Context, call claims.Call, send claims.Send) (*records.KeptAnswer, *refusal.Refusal) {
	c.answer, c.mayHaveRun, c.err = send(ctx)
	if call.Status != nil {
		c.status, _ = call.Status(ctx)
	}
	if c.err == nil {
		return c.answer, nil
	}
	return nil, refusal.NewUnknown(refusal.KindBackendUnavailable, c.err.Error(), "")
}

// TestSendBookingSaysWhatIsCertain holds the result of a send against what
// the service really did.
func TestSendBookingSaysWhatIsCertain(t *testing.T) {
	answers := func(status int) fasthttp.RequestHandler {
		return func(ctx *fasthttp.RequestCtx) {
			ctx.SetStatusCode(status)
			if ctx.IsGet() {
				ctx.SetStatusCode(fasthttp.StatusNotFound)
			}
		}
	}
	booksAndFails := func(ctx *fasthttp.RequestCtx) {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		if ctx.IsGet() {
			ctx.SetStatusCode(fasthttp.StatusOK)
			ctx.SetBodyString("booked")
		}
	}
	ledger := func(fault serviceserver.Fault) fasthttp.RequestHandler {
		service := serviceserver.New()
		service.OnBooking(func(string) serviceserver.Fault { return fault })
		return service.Handle
	}
	cases := []struct {
		name       string
		service    string
		handler    fasthttp.RequestHandler
		answered   bool
		mayHaveRun bool
		known      bool
	}{
		{"booked", "ledger", ledger(serviceserver.FaultNone), true, true, true},
		{"answer lost", "ledger", ledger(serviceserver.FaultLoseAnswer), false, true, true},
		{"503 and key not known", "ledger", ledger(serviceserver.FaultRefuse), false, false, false},
		{"503 without a status read", "bare", ledger(serviceserver.FaultRefuse), false, true, false},
		{"503 although it booked", "ledger", booksAndFails, true, true, true},
		{"429 and key not known", "ledger", answers(429), false, false, false},
		{"500 and key not known", "ledger", answers(500), false, true, false},
		{"504 and key not known", "ledger", answers(504), false, true, false},
		{"422 is the word of the service", "ledger", answers(422), true, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := book(t, c.service, "key 1/2", c.handler)
			must.Eq(t, c.answered, got.err == nil)
			must.Eq(t, c.mayHaveRun, got.mayHaveRun)
			must.Eq(t, c.known, got.status != nil)
		})
	}
}

func book(t *testing.T, service, key string, handler fasthttp.RequestHandler) *recordingBookings {
	t.Helper()
	table := backends.NewTable()
	table.Apply([]backends.Server{{ID: "server", Address: loopback.Serve(t, handler), Role: platform.RoleService, Serves: []string{service}}})
	pool := httpconn.NewPool(httpconn.DefaultOptions())
	t.Cleanup(pool.Close)
	got := &recordingBookings{}
	router := &dispatch.Router{
		Config: configured(t, bookingDocument), Table: table, Services: plainservice.New(pool), Bookings: got, Biller: &billRecorder{},
		Cold: alwaysWarm{}, Learner: noLearner{}, Explanations: requests.NewLog(), Now: time.Now,
	}
	config := router.Config.Current()
	_, _ = router.Plain(t.Context(), &dispatch.PlainCall{
		RequestID: "r1", Config: config, Account: config.Index.Account("technicians"), Service: config.Index.Service(service),
		Method: "POST", Path: "/bookings", Body: []byte("{}"), Key: key,
	})
	return got
}

// TestStatusReadStaysWithinItsPath sends keys that would lead elsewhere.
func TestStatusReadStaysWithinItsPath(t *testing.T) {
	for _, key := range []string{"..", ".", "../health", "a/../../health", "a%2f..", "a?b#c", "plain"} {
		t.Run(key, func(t *testing.T) {
			book(t, "ledger", key, func(ctx *fasthttp.RequestCtx) {
				if !ctx.IsGet() {
					return
				}
				raw := string(ctx.RequestURI())
				if !strings.HasPrefix(raw, "/bookings/") || strings.ContainsAny(raw[len("/bookings/"):], "/?#") {
					t.Errorf("status read of key %q went to %s", key, raw)
				}
			})
		})
	}
}
