package dispatch_test

import (
	"context"
	"crypto/ed25519"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/coordination/coldstart"
	"medlarslip/internal/coordination/configuration"
	"medlarslip/internal/coordination/dispatch"
	"medlarslip/internal/coordination/session"
	"medlarslip/internal/protocol/document"
	"medlarslip/internal/protocol/openai"
	"medlarslip/internal/protocol/platform"
	"medlarslip/internal/protocol/records"
	"medlarslip/internal/protocol/refusal"
	"medlarslip/internal/protocol/signed"
	"medlarslip/internal/standin/engineserver"
	"medlarslip/internal/standin/loopback"
	"medlarslip/internal/state/backends"
	"medlarslip/internal/state/requests"
	"medlarslip/internal/transport/engine"
	"medlarslip/internal/transport/httpconn"
)

const (
	streamVersion = "large-1"
	streamTokens  = 8
)

const streamDocument = `schema: 1
models:
  - name: large
    versions:
      - {id: large-1, withdrawn: false, micros_per_thousand_tokens: 1000, quality: 0.9}
cascades:
  - {name: draft, steps: [large], quality_target: 0.8, when_withdrawn: reassign}
kinds:
  - {name: report, first_token_ms: 20000, total_ms: 20000, priority: 5, latency_weight: 0}
rollouts: []
client_accounts:
  - name: technicians
    key_hashes: []
    allowed_versions: [large-1]
    allowed_services: []
    default_kind: report
    max_in_flight: 100
plain_services: []
failure_domains: []
cold_limits: []
`

// configured returns a store with a document in force.
func configured(t testing.TB, text string) *configuration.Store {
	t.Helper()
	public, private, err := ed25519.GenerateKey(nil)
	must.NoError(t, err)
	envelope := signed.Envelope{Number: 1, Operator: "anna", Reason: "test", Document: text}
	must.NoError(t, signed.Sign(&envelope, private))
	store := configuration.NewStore(signed.OperatorKeys{"anna": public})
	must.NoError(t, store.Apply(&records.Configuration{Envelope: envelope}))
	return store
}

type noRatings struct{}

func (noRatings) Rate(context.Context, *platform.RatingRequest) (*platform.Rating, error) {
	return nil, errors.New("no ratings")
}

// billRecorder keeps the bills that it is given.
type billRecorder struct {
	mu    sync.Mutex
	bills []records.Bill
}

func (b *billRecorder) Bill(_ context.Context, bill *records.Bill) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bills = append(b.bills, *bill)
}

func (b *billRecorder) Full() bool { return false }

func (b *billRecorder) all() []records.Bill {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]records.Bill(nil), b.bills...)
}

type alwaysWarm struct{}

func (alwaysWarm) Bound(*document.Index, *backends.Snapshot) int { return -1 }

func (alwaysWarm) Acquire(context.Context, *document.Index, *backends.Snapshot) (coldstart.Slot, error) {
	return coldstart.Slot{}, nil
}

func (alwaysWarm) Release(coldstart.Slot, string, time.Duration, bool) {}

type noLearner struct{}

func (noLearner) Observe(*dispatch.Sample) {}
func (noLearner) Halted(string) bool       { return false }

// streamFixture is a router before engines that show a sequence of faults: the
// nth request to arrive at any of them shows the nth.
type streamFixture struct {
	router  *dispatch.Router
	table   *backends.Table
	bills   *billRecorder
	engines []*engineserver.Engine
}

func newStreamFixture(t testing.TB, engineCount int, resumable bool, faults ...engineserver.Fault) *streamFixture {
	t.Helper()
	b := &streamFixture{table: backends.NewTable(), bills: &billRecorder{}}
	var mu sync.Mutex
	nextFault := func(*openai.ChatRequest, string) engineserver.Fault {
		mu.Lock()
		defer mu.Unlock()
		if len(faults) == 0 {
			return engineserver.FaultNone
		}
		fault := faults[0]
		faults = faults[1:]
		return fault
	}
	var servers []backends.Server
	for i := range engineCount {
		server := engineserver.New(engineserver.Config{Tokens: streamTokens, MaxRunning: 100, Resumable: resumable})
		server.OnRequest(nextFault)
		b.engines = append(b.engines, server)
		servers = append(servers, backends.Server{
			ID: fmt.Sprintf("engine-%d", i), Address: loopback.Serve(t, server.Handle), Role: platform.RoleEngine, Serves: []string{streamVersion},
		})
	}
	b.table.Apply(servers)
	pool := httpconn.NewPool(httpconn.DefaultOptions())
	t.Cleanup(pool.Close)
	b.router = &dispatch.Router{
		Config: configured(t, streamDocument), Table: b.table, Engines: engine.New(pool), Rater: noRatings{}, Biller: b.bills,
		Cold: alwaysWarm{}, Learner: noLearner{}, Sessions: session.NewSigner([]byte("key"), time.Now),
		Explanations: requests.NewLog(), Now: time.Now,
	}
	return b
}

func (b *streamFixture) call() *dispatch.ChatCall {
	config := b.router.Config.Current()
	body := `{"model":"draft","stream":true,"messages":[{"role":"user","content":"hello"}]}`
	call := &dispatch.ChatCall{RequestID: "r1", Config: config, Account: config.Index.Account("technicians"), Kind: config.Index.Kind("report")}
	_ = json.Unmarshal([]byte(body), &call.Body)
	_ = json.Unmarshal([]byte(body), &call.Request)
	return call
}

// received is what a caller saw of one stream.
type received struct {
	text string
	ids  map[string]bool
	err  error
}

func receive(stream *dispatch.ChatStream) received {
	defer stream.Close()
	got := received{ids: map[string]bool{}}
	var text strings.Builder
	for {
		data, err := stream.Next()
		if err != nil {
			got.text, got.err = text.String(), err
			return got
		}
		var chunk openai.Chunk
		if err := json.Unmarshal(data, &chunk); err != nil {
			got.err = err
			return got
		}
		got.ids[chunk.ID] = true
		for _, choice := range chunk.Choices {
			text.WriteString(choice.Delta.Content)
		}
	}
}

func (b *streamFixture) inFlight() int {
	total := 0
	for _, backend := range b.table.All() {
		total += backend.Snapshot().InFlight
	}
	return total
}

func TestStreamIsWholeOrTypedError(t *testing.T) {
	const (
		none     = engineserver.FaultNone
		cut      = engineserver.FaultCut
		noEnd    = engineserver.FaultNoEnd
		gap      = engineserver.FaultGap
		repeated = engineserver.FaultRepeat
		crossed  = engineserver.FaultCrossed
		version  = engineserver.FaultVersion
		refuse   = engineserver.FaultRefuse
		garbage  = engineserver.FaultGarbage
	)
	cases := []struct {
		name      string
		resumable bool
		faults    []engineserver.Fault
		whole     bool
	}{
		{"no fault", true, nil, true},
		{"cut, then resumed", true, []engineserver.Fault{cut}, true},
		{"cut, then continued elsewhere", false, []engineserver.Fault{cut}, true},
		{"no end mark, then resumed", true, []engineserver.Fault{noEnd}, true},
		{"no end mark, then continued elsewhere", false, []engineserver.Fault{noEnd}, true},
		{"event missing, then resumed", true, []engineserver.Fault{gap}, true},
		{"event twice, then resumed", true, []engineserver.Fault{repeated}, true},
		{"cut, resumption refused, continued elsewhere", true, []engineserver.Fault{cut, refuse}, true},
		{"cut, resumption cut too, continued elsewhere", true, []engineserver.Fault{cut, cut}, true},
		{"cut twice, then continued again", false, []engineserver.Fault{cut, cut}, true},
		{"crossed at once, then another server", false, []engineserver.Fault{crossed}, true},
		{"wrong version at once, then another server", false, []engineserver.Fault{version}, true},
		{"refused, then another server", false, []engineserver.Fault{refuse}, true},
		{"garbage, then another server", false, []engineserver.Fault{garbage}, true},
		{"cut, then another version answers", false, []engineserver.Fault{cut, version, version}, false},
		{"cut at every try", false, []engineserver.Fault{cut, cut, cut, cut, cut, cut}, false},
		{"cut at every resumption", true, []engineserver.Fault{cut, cut, cut, cut, cut, cut}, false},
	}
	want := strings.Join(engineserver.Tokens(streamVersion, streamTokens), "")
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			b := newStreamFixture(t, 4, tc.resumable, tc.faults...)
			stream, refused := b.router.Stream(context.Background(), b.call())
			must.Nil(t, refused)
			got := receive(stream)
			must.Eq(t, 0, b.inFlight())
			must.Eq(t, 1, len(b.bills.all()))
			must.Eq(t, 1, len(got.ids))
			if tc.whole {
				must.ErrorIs(t, got.err, io.EOF)
				must.Eq(t, want, got.text)
				must.Eq(t, "answered", b.bills.all()[0].Outcome)
				return
			}
			var refusal *refusal.Refusal
			must.True(t, errors.As(got.err, &refusal))
			must.StrHasPrefix(t, got.text, want)
			must.Eq(t, "unknown", b.bills.all()[0].Outcome)
		})
	}
}

func TestStreamRefusedBeforeFirstChunk(t *testing.T) {
	refuse := engineserver.FaultRefuse
	cases := []struct {
		name    string
		engines int
		faults  []engineserver.Fault
		kind    refusal.Kind
		outcome refusal.Outcome
	}{
		{"no server", 0, nil, refusal.KindNoBackend, refusal.NotRun},
		{"all full", 2, []engineserver.Fault{refuse, refuse, refuse}, refusal.KindOverloaded, refusal.NotRun},
		{"all fail", 1, []engineserver.Fault{engineserver.FaultError}, refusal.KindBrokenAnswer, refusal.Unknown},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			b := newStreamFixture(t, tc.engines, false, tc.faults...)
			stream, refused := b.router.Stream(context.Background(), b.call())
			must.Nil(t, stream)
			must.Eq(t, tc.kind, refused.Kind)
			must.Eq(t, tc.outcome, refused.Outcome)
			must.Positive(t, refused.RetryAfterMillis)
			must.Eq(t, 0, b.inFlight())
		})
	}
}

func TestClosedStreamIsCancelledAndBilled(t *testing.T) {
	b := newStreamFixture(t, 1, false)
	stream, refused := b.router.Stream(context.Background(), b.call())
	must.Nil(t, refused)
	_, err := stream.Next()
	must.NoError(t, err)
	stream.Close()
	must.Eq(t, 0, b.inFlight())
	bills := b.bills.all()
	must.Eq(t, 1, len(bills))
	must.Eq(t, "unknown", bills[0].Outcome)
}

func TestUsageIsSentOnlyToCallersThatAskForIt(t *testing.T) {
	cases := []struct {
		name, options string
		want          int
	}{
		{"not asked for", "", 0},
		{"declined", `{"include_usage":false}`, 0},
		{"malformed", `7`, 0},
		{"asked for", `{"include_usage":true}`, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			b := newStreamFixture(t, 1, true)
			call := b.call()
			if tc.options != "" {
				call.Body["stream_options"] = json.RawMessage(tc.options)
			}
			stream, refused := b.router.Stream(context.Background(), call)
			must.Nil(t, refused)
			defer stream.Close()
			withoutChoice := 0
			for {
				data, err := stream.Next()
				if err != nil {
					must.ErrorIs(t, err, io.EOF)
					break
				}
				var chunk openai.Chunk
				must.NoError(t, json.Unmarshal(data, &chunk))
				if len(chunk.Choices) == 0 {
					withoutChoice++
				}
			}
			must.Eq(t, tc.want, withoutChoice)
			must.Eq(t, 18, b.bills.all()[0].Steps[0].Tokens)
		})
	}
}
