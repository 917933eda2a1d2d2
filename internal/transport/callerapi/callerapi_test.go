package callerapi_test

import (
	"bufio"
	"crypto/ed25519"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"medlarslip/internal/coordination/configuration"
	"medlarslip/internal/protocol/entries"
	"medlarslip/internal/protocol/records"
	"medlarslip/internal/protocol/refusal"
	"medlarslip/internal/protocol/signed"
	"medlarslip/internal/standin/loopback"
	"medlarslip/internal/transport/callerapi"
)

// testDocument has the API key "secret" for the client account technicians.
const testDocument = `schema: 1
models:
  - name: small
    versions:
      - {id: small-1, withdrawn: false, micros_per_thousand_tokens: 100, quality: 0.9}
      - {id: small-0, withdrawn: true, micros_per_thousand_tokens: 100, quality: 0.9}
      - {id: small-2, withdrawn: false, micros_per_thousand_tokens: 100, quality: 0.9}
cascades:
  - {name: draft, steps: [small], quality_target: 0.8, when_withdrawn: refuse}
kinds:
  - {name: report, first_token_ms: 1000, total_ms: 1000, priority: 5, latency_weight: 0}
rollouts: []
client_accounts:
  - name: technicians
    key_hashes: [2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b]
    allowed_versions: [small-1, small-0]
    allowed_services: [ledger]
    default_kind: report
    max_in_flight: 100
plain_services:
  - {name: ledger, timeout_ms: 1000, non_idempotent: [{method: POST, path_prefix: /bookings}], status_path: ""}
  - {name: payroll, timeout_ms: 1000, non_idempotent: [], status_path: ""}
failure_domains: []
cold_limits: []
`

type fixedEntries struct{}

func (fixedEntries) Entries() entries.Answer {
	return entries.Answer{Entries: []entries.Entry{{Address: "10.0.0.1:8100", Weight: 100, FailureDomain: "wdh-a"}}, TTLMillis: 5000}
}

// newServer returns a server without a router, since every call of these tests
// is answered before routing.
func newServer(t testing.TB, configured bool) *callerapi.Server {
	t.Helper()
	public, private, err := ed25519.GenerateKey(nil)
	must.NoError(t, err)
	store := configuration.NewStore(signed.OperatorKeys{"anna": public})
	if configured {
		envelope := signed.Envelope{Number: 1, Operator: "anna", Reason: "test", Document: testDocument}
		must.NoError(t, signed.Sign(&envelope, private))
		must.NoError(t, store.Apply(&records.Configuration{Envelope: envelope}))
	}
	return &callerapi.Server{Config: store, Entries: fixedEntries{}}
}

func do(t *testing.T, address, method, uri, key, body string) *fasthttp.Response {
	t.Helper()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("http://" + address + uri)
	req.URI().DisablePathNormalizing = true
	req.Header.SetMethod(method)
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	req.SetBodyString(body)
	resp := &fasthttp.Response{}
	must.NoError(t, (&fasthttp.Client{DisablePathNormalizing: true}).Do(req, resp))
	return resp
}

func decodeRefusal(t *testing.T, body []byte) refusal.Error {
	t.Helper()
	var decoded refusal.Body
	must.NoError(t, json.Unmarshal(body, &decoded))
	return decoded.Error
}

func TestRefusalsAreTypedAndSayWhatToDo(t *testing.T) {
	const chat = "/v1/chat/completions"
	validBody := `{"model":"draft","messages":[{"role":"user","content":"hello"}]}`
	cases := []struct {
		name, method, uri, key, body string
		status                       int
		kind                         refusal.Kind
	}{
		{"no such call", "GET", "/v2/chat", "secret", "", 400, refusal.KindBadRequest},
		{"wrong method", "GET", chat, "secret", "", 400, refusal.KindBadRequest},
		{"no key", "POST", chat, "", validBody, 401, refusal.KindUnauthenticated},
		{"unknown key", "POST", chat, "guess", validBody, 401, refusal.KindUnauthenticated},
		{"models without key", "GET", "/v1/models", "", "", 401, refusal.KindUnauthenticated},
		{"no JSON", "POST", chat, "secret", "hello", 400, refusal.KindBadRequest},
		{"JSON of another shape", "POST", chat, "secret", `{"model":7}`, 400, refusal.KindBadRequest},
		{"null", "POST", chat, "secret", "null", 400, refusal.KindBadRequest},
		{"no model", "POST", chat, "secret", `{"messages":[{"role":"user","content":"x"}]}`, 400, refusal.KindBadRequest},
		{"no messages", "POST", chat, "secret", `{"model":"draft","messages":[]}`, 400, refusal.KindBadRequest},
		{"unknown service", "POST", "/v1/services/none/x", "secret", "", 404, refusal.KindUnknownService},
		{"service not allowed", "POST", "/v1/services/payroll/x", "secret", "", 403, refusal.KindNotAllowed},
		{"path with dots", "POST", "/v1/services/ledger/x/../bookings", "secret", "", 400, refusal.KindBadRequest},
		{"path with doubled slash", "POST", "/v1/services/ledger//bookings", "secret", "", 400, refusal.KindBadRequest},
		{"path with escapes", "POST", "/v1/services/ledger/%62ookings", "secret", "", 400, refusal.KindBadRequest},
		{"body over the limit", "POST", chat, "secret", strings.Repeat("x", 5000), 413, refusal.KindTooLarge},
	}
	server := newServer(t, true)
	address := serveWithLimits(t, server)
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			resp := do(t, address, tc.method, tc.uri, tc.key, tc.body)
			must.Eq(t, tc.status, resp.StatusCode())
			got := decodeRefusal(t, resp.Body())
			must.Eq(t, tc.kind, got.Kind)
			must.Eq(t, refusal.NotRun, got.Outcome)
			must.NotEq(t, "", got.Message)
			must.NotEq(t, "", got.Remedy)
			must.Eq(t, got.RequestID, string(resp.Header.Peek(callerapi.HeaderRequestID)))
		})
	}
}

// serveWithLimits serves requests like an instance with small limits.
func serveWithLimits(t *testing.T, server *callerapi.Server) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	http := &fasthttp.Server{Handler: server.Handle, ErrorHandler: server.HandleError, MaxRequestBodySize: 4000, ReadBufferSize: 4096, CloseOnShutdown: true}
	done := make(chan error, 1)
	go func() { done <- http.Serve(listener) }()
	t.Cleanup(func() {
		must.NoError(t, http.Shutdown())
		must.NoError(t, <-done)
	})
	return listener.Addr().String()
}

func TestRefusalWithoutConfigurationHasRetryAfter(t *testing.T) {
	address := loopback.Serve(t, newServer(t, false).Handle)
	resp := do(t, address, "GET", "/v1/models", "secret", "")
	must.Eq(t, 503, resp.StatusCode())
	must.Eq(t, "1", string(resp.Header.Peek("Retry-After")))
	got := decodeRefusal(t, resp.Body())
	must.Eq(t, refusal.KindNoConfiguration, got.Kind)
	must.Eq(t, 1000, got.RetryAfterMillis)
}

// An answer that is dropped has run, so that its refusal must not say otherwise, and keeps its request ID.
func TestDroppedAnswerMayHaveRun(t *testing.T) {
	ctx := &fasthttp.RequestCtx{}
	ctx.Response.Header.Set(callerapi.HeaderRequestID, "id")
	ctx.SetBodyString("an answer")
	newServer(t, false).DropAnswer(ctx)
	must.Eq(t, 502, ctx.Response.StatusCode())
	got := decodeRefusal(t, ctx.Response.Body())
	must.Eq(t, refusal.Unknown, got.Outcome)
	must.Eq(t, "id", got.RequestID)
	must.Eq(t, "id", string(ctx.Response.Header.Peek(callerapi.HeaderRequestID)))
	must.True(t, ctx.Response.ConnectionClose())
}

func TestModelsListsAllowedModels(t *testing.T) {
	address := loopback.Serve(t, newServer(t, true).Handle)
	resp := do(t, address, "GET", "/v1/models", "secret", "")
	must.Eq(t, `{"object":"list","data":[{"id":"draft","object":"model","created":0,"owned_by":"medlarslip"},{"id":"small-1","object":"model","created":0,"owned_by":"medlarslip"}]}`, string(resp.Body()))
}

func TestEntriesNeedNoKey(t *testing.T) {
	address := loopback.Serve(t, newServer(t, true).Handle)
	resp := do(t, address, "GET", entries.Path, "", "")
	must.Eq(t, `{"entries":[{"address":"10.0.0.1:8100","weight":100,"failure_domain":"wdh-a"}],"ttl_ms":5000}`, string(resp.Body()))
}

func TestClosingClosesConnectionsAfterRequest(t *testing.T) {
	server := newServer(t, true)
	var closing atomic.Bool
	server.Closing = closing.Load
	address := loopback.Serve(t, server.Handle)
	resp := do(t, address, "GET", entries.Path, "", "")
	must.False(t, resp.ConnectionClose())
	closing.Store(true)
	resp = do(t, address, "GET", entries.Path, "", "")
	must.True(t, resp.ConnectionClose())
}

// TestMalformedRequestsDoNotAffectOtherCallers sends malformed requests and then
// a valid one, each on its own connection. It guards against a request that is
// smuggled into the body of another, and against a failure of the server.
func TestMalformedRequestsDoNotAffectOtherCallers(t *testing.T) {
	address := serveWithLimits(t, newServer(t, true))
	malformed := []string{
		"\x16\x03\x01\x02\x00\x01",
		"GET\r\n\r\n",
		"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n",
		"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /v1/entries HTTP/1.1\r\nHost: x\r\n\r\n",
		"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
		"GET /v1/entries HTTP/1.1\r\nX: " + strings.Repeat("x", 8000) + "\r\n\r\n",
	}
	for i, text := range malformed {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			c, err := net.Dial("tcp", address)
			must.NoError(t, err)
			defer func() { _ = c.Close() }()
			must.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
			// The server may close the connection before all is written.
			_, _ = io.WriteString(c, text)
			_ = c.(*net.TCPConn).CloseWrite()
			answer, _ := io.ReadAll(bufio.NewReader(c))
			must.StrNotContains(t, string(answer), "10.0.0.1:8100")
			must.Eq(t, 200, do(t, address, "GET", entries.Path, "", "").StatusCode())
		})
	}
}
