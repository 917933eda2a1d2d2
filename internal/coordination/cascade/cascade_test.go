package cascade_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/coordination/cascade"
	"medlarslip/internal/protocol/document"
	"medlarslip/internal/protocol/refusal"
)

const sample = `schema: 1
models:
  - name: small
    versions:
      - {id: small-1, withdrawn: false, micros_per_thousand_tokens: 100, quality: 0.7}
      - {id: small-2, withdrawn: false, micros_per_thousand_tokens: 90, quality: 0.7}
  - name: large
    versions:
      - {id: large-1, withdrawn: false, micros_per_thousand_tokens: 1000, quality: 0.95}
cascades:
  - {name: draft, steps: [small, large], quality_target: 0.8, when_withdrawn: refuse}
kinds:
  - {name: report, first_token_ms: 1800, total_ms: 30000, priority: 10, latency_weight: 0.0}
  - {name: gate, first_token_ms: 800, total_ms: 4000, priority: 1, latency_weight: 1.0}
rollouts:
  - {id: roll, model: small, from: small-1, to: small-2, share_percent: 50, stage: active}
client_accounts:
  - name: technicians
    key_hashes: []
    allowed_versions: [small-1, small-2, large-1]
    allowed_services: []
    default_kind: report
    max_in_flight: 100
plain_services: []
failure_domains: []
cold_limits: []
`

type fixture struct {
	index   *document.Index
	learner *cascade.Learner
}

func newFixture(t *testing.T, replacements ...string) *fixture {
	t.Helper()
	text := strings.NewReplacer(replacements...).Replace(sample)
	doc, err := document.Parse([]byte(text))
	must.NoError(t, err)
	return &fixture{index: document.NewIndex(doc), learner: cascade.NewLearner()}
}

func (f *fixture) request(kind string) *cascade.Request {
	return &cascade.Request{
		Account: f.index.Account("technicians"), Kind: f.index.Kind(kind), Model: "draft", RequestID: "r1",
		Remaining: time.Duration(f.index.Kind(kind).TotalMillis) * time.Millisecond, Learner: f.learner,
	}
}

func (f *fixture) rate(kind, version string, accepted, below int) {
	key := cascade.Key{Cascade: "draft", Kind: kind, VersionID: version, Account: "technicians"}
	for range accepted {
		f.learner.ObserveRating(key, true)
	}
	for range below {
		f.learner.ObserveRating(key, false)
	}
}

func versions(plan *cascade.Plan) []string {
	var ids []string
	for _, step := range plan.Steps {
		ids = append(ids, step.VersionID)
	}
	return ids
}

func TestRolloutSendsNewWorkToItsSide(t *testing.T) {
	const open = "share_percent: 50, stage: active"
	cases := []struct {
		name, stage string
		halted      bool
		want        string
	}{
		{"done", "share_percent: 50, stage: done", false, "small-2"},
		{"whole share", "share_percent: 100, stage: active", false, "small-2"},
		{"no share", "share_percent: 0, stage: active", false, "small-1"},
		{"halted by operators", "share_percent: 100, stage: halted", false, "small-1"},
		{"halted automatically", "share_percent: 100, stage: active", true, "small-1"},
		{"done overrides an automatic halt", "share_percent: 100, stage: done", true, "small-2"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t, open, tc.stage)
			req := f.request("report")
			req.Halted = func(string) bool { return tc.halted }
			plan, refused := cascade.NewPlan(f.index, req)
			must.Nil(t, refused)
			must.Eq(t, []string{tc.want, "large-1"}, versions(plan))
		})
	}
}

func TestRolloutShareIsStickyPerSession(t *testing.T) {
	f := newFixture(t)
	newSide := 0
	for session := range 200 {
		seen := map[string]bool{}
		for n := range 5 {
			req := f.request("report")
			req.SessionID, req.RequestID = fmt.Sprint("s", session), fmt.Sprint("r", session, n)
			plan, _ := cascade.NewPlan(f.index, req)
			seen[plan.Options[0].Step.VersionID] = true
		}
		must.MapLen(t, 1, seen)
		if seen["small-2"] {
			newSide++
		}
	}
	must.Between(t, 80, newSide, 120)
}

func TestSessionKeepsItsVersion(t *testing.T) {
	f := newFixture(t, "share_percent: 50", "share_percent: 0")
	req := f.request("report")
	req.Session = map[string]string{"small": "small-2"}
	req.Halted = func(string) bool { return true }
	plan, refused := cascade.NewPlan(f.index, req)
	must.Nil(t, refused)
	must.Eq(t, "small-2", versions(plan)[0])
	f = newFixture(t, "id: small-2, withdrawn: false", "id: small-2, withdrawn: true")
	_, refused = cascade.NewPlan(f.index, req)
	must.Eq(t, refusal.KindVersionWithdrawn, refused.Kind)
	f = newFixture(t, "id: small-2, withdrawn: false", "id: small-2, withdrawn: true", "when_withdrawn: refuse", "when_withdrawn: reassign")
	plan, refused = cascade.NewPlan(f.index, req)
	must.Nil(t, refused)
	must.Eq(t, "small-1", versions(plan)[0])
}

func TestPlanUsesLearnedExpectations(t *testing.T) {
	const both, strong = "small-1,large-1", "large-1"
	noShare := []string{"share_percent: 50", "share_percent: 0"}
	cases := []struct {
		name   string
		kind   string
		learn  func(f *fixture)
		change func(req *cascade.Request)
		want   string
	}{
		{"cheap step accepted often", "report", func(f *fixture) { f.rate("report", "small-1", 80, 20) }, nil, both},
		{"cheap step accepted seldom", "report", func(f *fixture) { f.rate("report", "small-1", 2, 98) }, nil, strong},
		{"ratings of another kind do not count", "report", func(f *fixture) { f.rate("gate", "small-1", 0, 100) }, nil, both},
		{"latency counts and the cheap step adds to it", "gate", func(f *fixture) {
			f.rate("gate", "small-1", 30, 70)
			f.learner.ObserveDuration("gate", "small-1", time.Second)
			f.learner.ObserveDuration("gate", "large-1", 2*time.Second)
		}, nil, strong},
		{"latency counts and the cheap step saves it", "gate", func(f *fixture) {
			f.rate("gate", "small-1", 80, 20)
			f.learner.ObserveDuration("gate", "small-1", time.Second)
			f.learner.ObserveDuration("gate", "large-1", 2*time.Second)
		}, nil, both},
		{"time of the strongest step is not known yet", "gate", func(f *fixture) {
			f.rate("gate", "small-1", 80, 20)
			f.learner.ObserveDuration("gate", "small-1", time.Second)
		}, nil, both},
		{"both steps do not fit the time", "gate", func(f *fixture) {
			f.rate("gate", "small-1", 80, 20)
			f.learner.ObserveDuration("gate", "small-1", 2*time.Second)
			f.learner.ObserveDuration("gate", "large-1", 3*time.Second)
		}, nil, strong},
		{"cheap step is as good", "report", func(f *fixture) {
			f.rate("report", "small-1", 399, 0)
			f.rate("report", "large-1", 80, 10)
		}, nil, "small-1"},
		{"stream on an unknown version", "report", func(*fixture) {}, func(req *cascade.Request) { req.Stream = true }, strong},
		{"stream on a proven version", "report", func(f *fixture) { f.rate("report", "small-1", 390, 2) }, func(req *cascade.Request) { req.Stream = true }, both},
		{"no ratings, unknown version", "report", func(*fixture) {}, func(req *cascade.Request) { req.RatingDown = true }, strong},
		{"no ratings, proven version", "report", func(f *fixture) { f.rate("report", "small-1", 390, 2) }, func(req *cascade.Request) { req.RatingDown = true }, "small-1"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t, noShare...)
			tc.learn(f)
			req := f.request(tc.kind)
			if tc.change != nil {
				tc.change(req)
			}
			plan, refused := cascade.NewPlan(f.index, req)
			must.Nil(t, refused)
			must.Eq(t, tc.want, strings.Join(versions(plan), ","))
		})
	}
}

func TestPlanRefusesAtOnceWhereNoStepFits(t *testing.T) {
	f := newFixture(t)
	for _, id := range []string{"small-1", "small-2", "large-1"} {
		f.learner.ObserveDuration("gate", id, 10*time.Second)
	}
	_, refused := cascade.NewPlan(f.index, f.request("gate"))
	must.Eq(t, refusal.KindDeadline, refused.Kind)
	must.Eq(t, refusal.NotRun, refused.Outcome)
	must.Positive(t, refused.RetryAfterMillis)
}

// TestLearnerDetectsAVersionThatDegrades checks that old ratings decay and that
// a sample of requests still tries a skipped step.
func TestLearnerDetectsAVersionThatDegrades(t *testing.T) {
	f := newFixture(t, "share_percent: 50", "share_percent: 0")
	f.rate("report", "small-1", 2000, 0)
	f.rate("report", "small-1", 0, 1000)
	explored := 0
	for n := range 1000 {
		req := f.request("report")
		req.RequestID = fmt.Sprint("request", n)
		plan, _ := cascade.NewPlan(f.index, req)
		if plan.Reason == cascade.ReasonExplore {
			explored++
			must.Eq(t, 2, len(plan.Steps))
			continue
		}
		must.Eq(t, []string{"large-1"}, versions(plan))
	}
	must.Between(t, 5, explored, 35)
}

func TestLearnerPoolsInstancesOnce(t *testing.T) {
	a, b := newFixture(t), newFixture(t)
	b.rate("report", "small-1", 100, 0)
	key := cascade.Key{Cascade: "draft", Kind: "report", VersionID: "small-1", Account: "technicians"}
	for range 3 {
		a.learner.Merge("b", b.learner.Export())
	}
	must.Eq(t, 100, a.learner.EstimateAcceptance(key, 0.2).Observed)
	must.SliceEmpty(t, a.learner.Export())
	other := key
	other.Account = "inspectors"
	shrunk, own := a.learner.EstimateAcceptance(other, 0.2), a.learner.EstimateAcceptance(key, 0.2)
	must.Greater(t, 0.8, shrunk.Mean)
	must.Less(t, own.Low, shrunk.Low)
}

func TestRatingHealth(t *testing.T) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	h := &cascade.RatingHealth{}
	for range 3 {
		must.False(t, h.Down(now))
		h.ObserveMissing(now)
	}
	must.True(t, h.Down(now))
	now = now.Add(2 * time.Second)
	must.False(t, h.Down(now))
	must.True(t, h.Down(now))
	h.ObserveRating()
	must.False(t, h.Down(now))
	for range 30 {
		h.ObserveStrongest(false, 0.9)
	}
	must.True(t, h.Down(now))
	for range 30 {
		h.ObserveStrongest(true, 0.9)
	}
	must.False(t, h.Down(now))
}

func BenchmarkPlanWithPeers(b *testing.B) {
	doc, err := document.Parse([]byte(sample))
	must.NoError(b, err)
	f := &fixture{index: document.NewIndex(doc), learner: cascade.NewLearner()}
	for peer := range 410 {
		var counts []cascade.KeyCounts
		for account := range 10 {
			key := cascade.Key{Cascade: "draft", Kind: "report", VersionID: "small-1", Account: fmt.Sprint(account)}
			counts = append(counts, cascade.KeyCounts{Key: key, Counts: cascade.Counts{Accepted: 10, Below: 2}})
		}
		f.learner.Merge(fmt.Sprint(peer), counts)
	}
	req := f.request("report")
	b.ReportAllocs()
	for b.Loop() {
		_, _ = cascade.NewPlan(f.index, req)
	}
}
