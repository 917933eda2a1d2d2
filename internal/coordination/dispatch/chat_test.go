package dispatch_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/coordination/cascade"
	"medlarslip/internal/coordination/dispatch"
	"medlarslip/internal/coordination/overload"
	"medlarslip/internal/coordination/session"
	"medlarslip/internal/protocol/attempt"
	"medlarslip/internal/protocol/openai"
	"medlarslip/internal/protocol/platform"
	"medlarslip/internal/protocol/records"
	"medlarslip/internal/protocol/refusal"
	"medlarslip/internal/state/backends"
	"medlarslip/internal/state/requests"
)

const chatDocument = `schema: 1
models:
  - name: small
    versions:
      - {id: small-1, withdrawn: false, micros_per_thousand_tokens: 100, quality: 0.7}
  - name: large
    versions:
      - {id: large-1, withdrawn: false, micros_per_thousand_tokens: 1000, quality: 0.9}
cascades:
  - {name: draft, steps: [small, large], quality_target: 0.8, when_withdrawn: reassign}
kinds:
  - {name: report, first_token_ms: 10000, total_ms: 10000, priority: 5, latency_weight: 0}
rollouts: []
client_accounts:
  - name: technicians
    key_hashes: []
    allowed_versions: [small-1, large-1]
    allowed_services: [ledger]
    default_kind: report
    max_in_flight: 2
plain_services:
  - {name: ledger, timeout_ms: 5000, non_idempotent: [], status_path: ""}
failure_domains: []
cold_limits: []
`

// fakePlatform stands for engines, services and the rating service.
type fakePlatform struct {
	mu      sync.Mutex
	calls   []string
	took    map[string]time.Duration
	ratings map[string]float64
	err     error
	// slow is the address of a service that never answers.
	slow string
}

func (f *fakePlatform) noteCall(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls = append(f.calls, name)
}

func (f *fakePlatform) Complete(ctx context.Context, call *attempt.EngineCall) (*attempt.Answer, error) {
	f.noteCall(call.VersionID)
	select {
	case <-time.After(f.took[call.VersionID]):
	case <-ctx.Done():
		return nil, attempt.ErrBroken
	}
	if f.err != nil {
		return nil, f.err
	}
	text := `{"choices":[{"message":{"content":"x"}}],"usage":{"total_tokens":1000}}`
	answer := &attempt.Answer{Body: []byte(call.VersionID)}
	return answer, json.Unmarshal([]byte(text), &answer.Parsed)
}

func (f *fakePlatform) Open(context.Context, *attempt.EngineCall, int) (attempt.Stream, error) {
	return nil, attempt.ErrBroken
}

func (f *fakePlatform) Rate(_ context.Context, request *platform.RatingRequest) (*platform.Rating, error) {
	score, ok := f.ratings[request.VersionID]
	if !ok {
		return nil, errors.New("no rating")
	}
	return &platform.Rating{Score: score}, nil
}

func (f *fakePlatform) Do(ctx context.Context, call *attempt.ServiceCall) (*records.KeptAnswer, error) {
	f.noteCall(call.Address)
	if call.Address == f.slow {
		<-ctx.Done()
		return nil, attempt.ErrNoAnswer
	}
	return &records.KeptAnswer{Status: 200}, nil
}

func newChatRouter(t testing.TB, fake *fakePlatform) *dispatch.Router {
	t.Helper()
	table := backends.NewTable()
	var servers []backends.Server
	for i := range 4 {
		servers = append(servers, backends.Server{ID: fmt.Sprint("engine-", i), Serves: []string{"small-1", "large-1"}})
	}
	for i := range 2 {
		servers = append(servers, backends.Server{ID: fmt.Sprint("ledger-", i), Address: fmt.Sprint("ledger-", i), Serves: []string{"ledger"}})
	}
	table.Apply(servers)
	return &dispatch.Router{
		Config: configured(t, chatDocument), Table: table, Engines: fake, Services: fake, Rater: fake, Biller: &billRecorder{},
		Cold: alwaysWarm{}, Learner: noLearner{}, Sessions: session.NewSigner([]byte("key"), time.Now),
		Explanations: requests.NewLog(), Now: time.Now, Acceptance: cascade.NewLearner(), Ratings: &cascade.RatingHealth{},
		Gate: overload.NewGate(time.Now),
	}
}

// unsampled is a request ID outside the samples of ratings and explorations.
const unsampled = "r2"

func ask(router *dispatch.Router, requestID string) (*dispatch.ChatResult, *refusal.Refusal) {
	config := router.Config.Current()
	body := `{"model":"draft","messages":[{"role":"user","content":"hello"}]}`
	call := &dispatch.ChatCall{RequestID: requestID, Config: config, Account: config.Index.Account("technicians"), Kind: config.Index.Kind("report")}
	_ = json.Unmarshal([]byte(body), &call.Body)
	call.Request = openai.ChatRequest{Model: "draft"}
	return router.Chat(context.Background(), call)
}

func TestChatReportsQuality(t *testing.T) {
	cases := []struct {
		name      string
		ratings   map[string]float64
		requestID string
		version   string
		quality   dispatch.Quality
		calls     string
	}{
		{"cheap step meets the target", map[string]float64{"small-1": 0.85}, unsampled, "small-1", dispatch.QualityMet, "small-1"},
		{"cheap step is below", map[string]float64{"small-1": 0.5}, unsampled, "large-1", dispatch.QualityUnrated, "small-1,large-1"},
		{"cheap step has no rating", nil, unsampled, "large-1", dispatch.QualityUnrated, "small-1,large-1"},
		{"last step is sampled and meets", map[string]float64{"small-1": 0.5, "large-1": 0.9}, "sampled", "large-1", dispatch.QualityMet, "small-1,large-1"},
		{"all are below, the last is best", map[string]float64{"small-1": 0.5, "large-1": 0.7}, "sampled", "large-1", dispatch.QualityBelowTarget, "small-1,large-1"},
		{"all are below, the first is best", map[string]float64{"small-1": 0.7, "large-1": 0.6}, "sampled", "small-1", dispatch.QualityBelowTarget, "small-1,large-1"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fake := &fakePlatform{ratings: tc.ratings}
				router := newChatRouter(t, fake)
				result, refused := ask(router, sampledID(tc.requestID))
				must.Nil(t, refused)
				must.Eq(t, tc.version, result.VersionID)
				must.Eq(t, tc.quality, result.Quality)
				must.Eq(t, tc.calls, strings.Join(fake.calls, ","))
				explanation := router.Explanations.Get(sampledID(tc.requestID))
				must.Eq(t, string(tc.quality), explanation.Quality)
				must.Eq(t, 2, len(explanation.Options))
				must.Eq(t, len(fake.calls), len(explanation.Steps))
				must.Eq(t, 4, explanation.Attempts[0].InView)
				must.Positive(t, explanation.Micros)
			})
		})
	}
}

// sampledID replaces the word sampled by an ID whose last step is rated.
func sampledID(id string) string {
	if id != "sampled" {
		return id
	}
	plan := cascade.Plan{Steps: []cascade.Step{{}}}
	for n := 0; ; n++ {
		if id := fmt.Sprint("s", n); plan.MustRate(0, id) {
			return id
		}
	}
}

func TestChatRefusesWhenNextStepExceedsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := &fakePlatform{
			ratings: map[string]float64{"small-1": 0.5},
			took:    map[string]time.Duration{"small-1": 4 * time.Second, "large-1": 5 * time.Second},
		}
		router := newChatRouter(t, fake)
		router.Acceptance.ObserveDuration("report", "large-1", 5*time.Second)
		router.Acceptance.ObserveDuration("report", "small-1", time.Second)
		fake.took["small-1"] = 7 * time.Second
		start := time.Now()
		_, refused := ask(router, unsampled)
		must.Eq(t, refusal.KindDeadline, refused.Kind)
		must.Eq(t, refusal.Unknown, refused.Outcome)
		must.Positive(t, refused.RetryAfterMillis)
		must.Eq(t, 7*time.Second, time.Since(start))
		must.Eq(t, []string{"small-1"}, fake.calls)
	})
}

func TestAccountLimitIsEnforced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := &fakePlatform{ratings: map[string]float64{"small-1": 0.9}, took: map[string]time.Duration{"small-1": time.Second}}
		router := newChatRouter(t, fake)
		for range 2 {
			go func() { _, _ = ask(router, unsampled) }()
		}
		synctest.Wait()
		_, refused := ask(router, unsampled)
		must.Eq(t, refusal.KindOverloaded, refused.Kind)
		must.Eq(t, refusal.NotRun, refused.Outcome)
		must.Positive(t, refused.RetryAfterMillis)
		time.Sleep(2 * time.Second)
		_, refused = ask(router, unsampled)
		must.Nil(t, refused)
	})
}

func TestOnlyReadsAreHedged(t *testing.T) {
	cases := []struct {
		method string
		calls  int
		whole  bool
	}{{"GET", 2, true}, {"PUT", 1, false}}
	for _, tc := range cases {
		t.Run(tc.method, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fake := &fakePlatform{}
				router := newChatRouter(t, fake)
				// The other server has work, so that the slow one is chosen.
				fake.slow = "ledger-0"
				for _, server := range router.Table.Serving("ledger") {
					if server.Snapshot().Server.ID == "ledger-1" {
						server.SetLoad(backends.Load{Running: 50, ReadAt: time.Now()})
						server.Begin(0)
					}
				}
				config := router.Config.Current()
				whole := 0
				for range 8 {
					fake.calls = nil
					_, refused := router.Plain(context.Background(), &dispatch.PlainCall{
						RequestID: "p1", Config: config, Account: config.Index.Account("technicians"),
						Service: config.Index.Service("ledger"), Method: tc.method, Path: "/x",
					})
					if fake.calls[0] != fake.slow {
						continue
					}
					must.Eq(t, tc.calls, len(fake.calls))
					must.Eq(t, tc.whole, refused == nil)
					whole++
				}
				must.Positive(t, whole)
			})
		})
	}
}
