package dispatch_test

import (
	"context"
	"expvar"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/shoenig/test/must"

	"medlarslip/internal/coordination/cascade"
	"medlarslip/internal/coordination/dispatch"
	"medlarslip/internal/protocol/attempt"
	"medlarslip/internal/protocol/platform"
	"medlarslip/internal/protocol/records"
	"medlarslip/internal/protocol/refusal"
	"medlarslip/internal/state/backends"
)

// shortPlatform is a fakePlatform whose calls fail by version for lack of memory at this instance.
type shortPlatform struct {
	*fakePlatform
	errs map[string]error
}

// Complete implements attempt.Engines.
func (s *shortPlatform) Complete(ctx context.Context, call *attempt.EngineCall) (*attempt.Answer, error) {
	answer, err := s.fakePlatform.Complete(ctx, call)
	if s.errs[call.VersionID] != nil {
		return nil, s.errs[call.VersionID]
	}
	return answer, err
}

// Do implements attempt.Services.
func (s *shortPlatform) Do(ctx context.Context, call *attempt.ServiceCall) (*records.KeptAnswer, error) {
	_, _ = s.fakePlatform.Do(ctx, call)
	return nil, attempt.ErrMemory
}

// TestLackOfMemoryStatesTheOutcome guards against a status that permits to repeat a request that has run, and against
// further attempts, which would fail for the same reason.
func TestLackOfMemoryStatesTheOutcome(t *testing.T) {
	for _, c := range []struct {
		name    string
		errs    map[string]error
		status  int
		outcome refusal.Outcome
		calls   string
	}{
		{"the answer does not fit", map[string]error{"small-1": attempt.ErrMemory}, http.StatusBadGateway, refusal.Unknown, "small-1"},
		{"the request does not fit", map[string]error{"small-1": attempt.ErrBodyMemory}, http.StatusTooManyRequests, refusal.NotRun, "small-1"},
		{"the second request does not fit", map[string]error{"large-1": attempt.ErrBodyMemory}, http.StatusBadGateway, refusal.Unknown, "small-1,large-1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fake := &shortPlatform{&fakePlatform{ratings: map[string]float64{"small-1": 0.5}}, c.errs}
				router := newChatRouter(t, fake.fakePlatform)
				router.Engines = fake
				_, refused := ask(router, unsampled)
				must.NotNil(t, refused)
				must.Eq(t, c.status, refused.Status())
				must.Eq(t, c.outcome, refused.Outcome)
				must.Positive(t, refused.RetryAfterMillis)
				must.Eq(t, c.calls, strings.Join(fake.calls, ","))
			})
		})
	}
}

// TestRefusalAfterARunHasNoStatusOfOneThatHasNotRun guards against 429 and 503 where the engine of an earlier attempt
// may have run the request, and the engines of the last step were full or missing.
func TestRefusalAfterARunHasNoStatusOfOneThatHasNotRun(t *testing.T) {
	for _, c := range []struct {
		name    string
		first   error
		serves  []string
		status  int
		outcome refusal.Outcome
	}{
		{"broken, then full", attempt.ErrBroken, []string{"small-1", "large-1"}, http.StatusBadGateway, refusal.Unknown},
		{"broken, then none", attempt.ErrBroken, []string{"small-1"}, http.StatusBadGateway, refusal.Unknown},
		{"unreachable, then full", attempt.ErrUnreachable, []string{"small-1", "large-1"}, http.StatusTooManyRequests, refusal.NotRun},
		{"unreachable, then none", attempt.ErrUnreachable, []string{"small-1"}, http.StatusServiceUnavailable, refusal.NotRun},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fake := &shortPlatform{&fakePlatform{}, map[string]error{"small-1": c.first, "large-1": attempt.ErrBusy}}
				router := newChatRouter(t, fake.fakePlatform)
				router.Engines = fake
				router.Table.Apply([]backends.Server{{ID: "engine-0", Serves: c.serves}})
				_, refused := ask(router, unsampled)
				must.NotNil(t, refused)
				must.Eq(t, c.status, refused.Status())
				must.Eq(t, c.outcome, refused.Outcome)
				must.Positive(t, refused.RetryAfterMillis)
			})
		})
	}
}

// TestReadsWithoutMemoryAreNotRepeated guards against hedged reads that load further servers for an answer that does not fit.
func TestReadsWithoutMemoryAreNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := &shortPlatform{fakePlatform: &fakePlatform{}}
		router := newChatRouter(t, fake.fakePlatform)
		router.Services = fake
		config := router.Config.Current()
		_, refused := router.Plain(context.Background(), &dispatch.PlainCall{
			RequestID: "r", Config: config, Account: config.Index.Account("technicians"), Service: config.Index.Service("ledger"), Method: "GET", Path: "/",
		})
		must.NotNil(t, refused)
		must.Eq(t, http.StatusBadGateway, refused.Status())
		must.Eq(t, refusal.Unknown, refused.Outcome)
		must.Len(t, 1, fake.calls)
	})
}

// slowRater is a rating service that does not answer before the end of a test.
type slowRater chan struct{}

// Rate implements dispatch.Rater.
func (s slowRater) Rate(context.Context, *platform.RatingRequest) (*platform.Rating, error) {
	<-s
	return &platform.Rating{Score: 0.9}, nil
}

// TestLateRatingsStayWithinTheirMemory guards against answers that a slow rating service makes this
// instance hold after they were returned, when nothing else accounts for them.
func TestLateRatingsStayWithinTheirMemory(t *testing.T) {
	b := newStreamFixture(t, 1, true)
	rater := make(slowRater)
	defer close(rater)
	b.router.Rater, b.router.Acceptance = rater, cascade.NewLearner()
	stream := func() int64 {
		call := b.call()
		call.RequestID = sampledID("sampled")
		s, refused := b.router.Stream(context.Background(), call)
		must.Nil(t, refused)
		size := len(receive(s).text)
		for _, value := range call.Body {
			size += len(value)
		}
		return int64(size)
	}
	dropped := expvar.Get("late_ratings_dropped").(*expvar.Int)
	before := dropped.Value()
	b.router.LateRatingBytes = 3 * stream()
	must.Eq(t, before, dropped.Value())
	for range 5 {
		stream()
	}
	must.Eq(t, before+3, dropped.Value())
}
