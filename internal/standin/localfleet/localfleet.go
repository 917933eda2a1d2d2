// Package localfleet runs entry instances, a platform and backend servers in
// the process of a test.
package localfleet

import (
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"medlarslip/internal/coordination/configuration"
	"medlarslip/internal/instance"
	"medlarslip/internal/protocol/document"
	"medlarslip/internal/protocol/entries"
	"medlarslip/internal/protocol/platform"
	"medlarslip/internal/protocol/settings"
	"medlarslip/internal/protocol/signed"
	"medlarslip/internal/standin/engineserver"
	"medlarslip/internal/standin/logservice"
	"medlarslip/internal/standin/loopback"
	"medlarslip/internal/standin/platformserver"
	"medlarslip/internal/standin/serviceserver"
)

const (
	// SharedKey is the 32-byte key that the entry instances share.
	SharedKey = "0123456789abcdef0123456789abcdef"
	// APIKey is the API key of the client account in Document.
	APIKey     = "secret"
	entriesTTL = 300 * time.Millisecond
	// AnswerTokens is the number of tokens in an answer of the engine that New
	// starts.
	AnswerTokens = 20
	// startLimit bounds the wait for an instance to be ready, and one call.
	startLimit = 30 * time.Second
)

// Document is the configuration that New and NewWithEngine publish.
const Document = `schema: 1
models:
  - name: small
    versions:
      - {id: small-1, withdrawn: false, micros_per_thousand_tokens: 100, quality: 0.7}
  - name: large
    versions:
      - {id: large-1, withdrawn: false, micros_per_thousand_tokens: 1000, quality: 0.95}
cascades:
  - {name: draft, steps: [small, large], quality_target: 0.8, when_withdrawn: reassign}
kinds:
  - {name: report, first_token_ms: 20000, total_ms: 20000, priority: 5, latency_weight: 0.2}
rollouts: []
client_accounts:
  - name: technicians
    key_hashes: [2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b]
    allowed_versions: [small-1, large-1]
    allowed_services: [ledger]
    default_kind: report
    max_in_flight: 1000
plain_services:
  - {name: ledger, timeout_ms: 10000, non_idempotent: [{method: POST, path_prefix: /bookings}], status_path: "/bookings/{key}"}
failure_domains:
  - {name: wdh-a, out: false}
  - {name: wdh-b, out: false}
cold_limits: []
`

// Fleet is a platform, backend servers and entry instances in one process.
type Fleet struct {
	// Log is the platform's log service.
	Log      *logservice.Service
	t        testing.TB
	platform *platformserver.Server
	address  string
	// Engine is nil if the fleet was started without one.
	Engine *engineserver.Engine
	Ledger *serviceserver.Service

	operatorKey ed25519.PrivateKey
	publicKey   ed25519.PublicKey

	mu        sync.Mutex
	instances []platform.Instance
	entries   map[string]*Entry
}

// Entry is one running entry instance with the addresses of its listeners.
type Entry struct {
	Callers string
	Admin   string
	cancel  context.CancelFunc
	done    chan error
}

// New starts a platform, one engine and one ledger, and publishes Document.
func New(t testing.TB) *Fleet {
	t.Helper()
	engine := engineserver.New(engineserver.Config{Tokens: AnswerTokens, TokenTime: 5 * time.Millisecond, MaxRunning: 1000, Resumable: true})
	return NewWithEngine(t, engine)
}

// NewWithEngine starts a platform, a ledger, and the engine unless it is nil,
// and publishes Document.
func NewWithEngine(t testing.TB, engine *engineserver.Engine) *Fleet {
	t.Helper()
	public, private, err := ed25519.GenerateKey(nil)
	must.NoError(t, err)
	f := &Fleet{t: t, operatorKey: private, publicKey: public, Log: logservice.New(0), entries: map[string]*Entry{}}
	f.platform = platformserver.New(f.Log, func(*platform.RatingRequest) float64 { return 0.9 })
	f.address = loopback.Serve(t, f.platform.Handle)
	f.Engine = engine
	f.Ledger = serviceserver.New()
	if engine != nil {
		f.AddBackend("engine-1", platform.RoleEngine, loopback.Serve(t, engine.Handle), "small-1", "large-1")
	}
	f.AddBackend("ledger-1", platform.RoleService, loopback.Serve(t, f.Ledger.Handle), "ledger")
	f.Publish(Document)
	return f
}

// AddBackend adds a backend server of the first failure domain to the instance
// list.
func (f *Fleet) AddBackend(id string, role platform.Role, address string, serves ...string) {
	f.AddBackendIn(failureDomains[0], id, role, address, serves...)
}

// AddBackendIn adds a backend server of a failure domain to the instance list.
func (f *Fleet) AddBackendIn(failureDomain, id string, role platform.Role, address string, serves ...string) {
	f.addInstance(platform.Instance{ID: id, Address: address, Role: role, Serves: serves, FailureDomain: failureDomain, State: platform.InstanceLive, Incarnation: "1"})
}

func (f *Fleet) addInstance(row platform.Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.instances = append(f.instances, row)
	f.platform.SetInstances(platform.InstanceList{Instances: append([]platform.Instance(nil), f.instances...)})
}

// Publish signs a document and publishes it through the log.
func (f *Fleet) Publish(text string) {
	f.t.Helper()
	doc, err := document.Parse([]byte(text))
	must.NoError(f.t, err)
	publisher := &configuration.Publisher{Log: f.Log, Keys: signed.OperatorKeys{"anna": f.publicKey}, Operator: "anna", Key: f.operatorKey, Now: time.Now}
	base, err := publisher.Load(context.Background())
	must.NoError(f.t, err)
	_, err = publisher.Publish(context.Background(), base, doc, "test")
	must.NoError(f.t, err)
}

// failureDomains are the failure domains in Document; Start assigns them to
// entry instances in turn.
var failureDomains = []string{"wdh-a", "wdh-b"}

// Start starts an entry instance and waits until it is ready and all running
// instances return each other as entries.
func (f *Fleet) Start(id string) *Entry {
	f.t.Helper()
	s := f.Settings(id, failureDomains[len(f.entries)%len(failureDomains)])
	must.NoError(f.t, s.Validate())
	in, err := instance.New(s, []byte(SharedKey))
	must.NoError(f.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	e := &Entry{Callers: s.Listen.Callers, Admin: s.Listen.Metrics, cancel: cancel, done: make(chan error, 1)}
	go func() { e.done <- in.Run(ctx) }()
	f.AddEntry(s)
	f.entries[id] = e
	f.AwaitReady(e.Callers)
	for _, other := range f.entries {
		f.awaitEntries(other)
	}
	return e
}

// Settings returns settings for an entry instance of this fleet, with addresses that
// stay free until it listens.
func (f *Fleet) Settings(id, failureDomain string) *settings.Entry {
	return &settings.Entry{
		Instance: id, FailureDomain: failureDomain, Region: "windhoek",
		Listen:   settings.Listen{Callers: loopback.Address(), Peers: loopback.Address(), Metrics: loopback.Address()},
		Platform: settings.Platform{Log: f.address, Instances: f.address, Ratings: f.address, Weights: f.address},
		Keys: settings.Keys{SharedKeyFile: "unused", Operators: []settings.OperatorKey{
			{Name: "anna", PublicKey: base64.StdEncoding.EncodeToString(f.publicKey)},
		}},
		Limits: settings.Limits{MaxBodyBytes: 1 << 20, MaxHeaderBytes: 8192, MaxConnections: 1000, MaxConnectionsPerIP: 1000, StreamIdleMillis: 10000, ConnectTimeoutMillis: 1000},
		Drain:  settings.Drain{EntriesTTLMillis: int(entriesTTL.Milliseconds()), LongestRequestMillis: 20000},
	}
}

// AddEntry adds an entry instance to the platform's instance list.
func (f *Fleet) AddEntry(s *settings.Entry) {
	f.addInstance(platform.Instance{
		ID: s.Instance, Address: s.Listen.Callers, ControlAddress: s.Listen.Peers, Role: platform.RoleEntry,
		FailureDomain: s.FailureDomain, State: platform.InstanceLive,
	})
}

// awaitEntries waits until the instance returns all running instances as
// entries.
func (f *Fleet) awaitEntries(e *Entry) {
	f.t.Helper()
	deadline := time.Now().Add(startLimit)
	for {
		var answer entries.Answer
		r, err := Call(e.Callers, fasthttp.MethodGet, entries.Path, "", "")
		if err == nil && json.Unmarshal([]byte(r.Body), &answer) == nil && len(answer.Entries) == len(f.entries) {
			return
		}
		must.True(f.t, time.Now().Before(deadline))
		time.Sleep(20 * time.Millisecond)
	}
}

// AwaitReady waits until the instance at a callers' address serves a chat
// request and a read from the ledger.
func (f *Fleet) AwaitReady(address string) {
	f.t.Helper()
	deadline := time.Now().Add(startLimit)
	for {
		chat, chatErr := Call(address, fasthttp.MethodPost, "/v1/chat/completions", ChatBody(false), "")
		read, readErr := Call(address, fasthttp.MethodGet, "/v1/services/ledger/bookings/none", "", "")
		if chatErr == nil && readErr == nil && chat.Status == fasthttp.StatusOK && read.Status == fasthttp.StatusNotFound {
			return
		}
		must.True(f.t, time.Now().Before(deadline), must.Sprintf("chat %+v %v, service %+v %v", chat, chatErr, read, readErr))
		time.Sleep(20 * time.Millisecond)
	}
}

// Stop shuts an instance down gracefully and returns its result. The platform's
// list is not updated and so still shows the instance as live.
func (f *Fleet) Stop(id string) error {
	e := f.entries[id]
	delete(f.entries, id)
	e.cancel()
	return <-e.done
}

// StopAll shuts all instances down gracefully at the same time.
func (f *Fleet) StopAll() {
	f.t.Helper()
	for _, e := range f.entries {
		e.cancel()
	}
	for id, e := range f.entries {
		must.NoError(f.t, <-e.done, must.Sprint(id))
	}
}

// Reply is the answer that a caller received.
type Reply struct {
	Status    int
	Body      string
	Version   string
	RequestID string
}

// ChatBody returns the body of a chat request.
func ChatBody(stream bool) string { return chatBody("hello", stream) }

// PromptBody returns the body of a chat request that is not streamed.
func PromptBody(prompt string) string { return chatBody(prompt, false) }

func chatBody(prompt string, stream bool) string {
	return fmt.Sprintf(`{"model":"draft","stream":%t,"messages":[{"role":"user","content":%q}]}`, stream, prompt)
}

// callerClient keeps connections open, as callers do, and never retries.
var callerClient = fasthttp.Client{
	MaxIdemponentCallAttempts: 1,
	RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	MaxConnsPerHost:           1000,
}

// Call sends one request with APIKey and, unless it is empty, an idempotency
// key.
func Call(address, method, path, body, idempotencyKey string) (*Reply, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("http://" + address + path)
	req.Header.SetMethod(method)
	req.Header.Set("Authorization", "Bearer "+APIKey)
	if idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", idempotencyKey)
	}
	req.SetBodyString(body)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := callerClient.DoTimeout(req, resp, startLimit); err != nil {
		return nil, err
	}
	return &Reply{Status: resp.StatusCode(), Body: string(resp.Body()), Version: string(resp.Header.Peek("X-Medlarslip-Version")), RequestID: string(resp.Header.Peek("X-Request-Id"))}, nil
}
