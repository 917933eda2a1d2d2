package gateway

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/state/clientmemory"
)

// TestRefusedStrongerRun guards against requests that end without an answer although another server may
// run the stronger model after the first has refused it, and against a response which states that the
// answer of a run is lost that no server has begun.
func TestRefusedStrongerRun(t *testing.T) {
	for _, refusing := range []int{1, 3} {
		synctest.Test(t, func(t *testing.T) {
			f := newPressureFleet(1, map[string]int{"models": 3}, pressureKinds(1), true)
			for _, id := range []string{"models-0", "models-1", "models-2"}[:refusing] {
				f.servers[id].onlySmall = true
			}
			lost := 0
			for range 60 {
				r := f.send(t.Context(), 0, &f.kinds[0], accountOf(0), time.Now())
				if r.status == http.StatusOK {
					continue
				}
				lost++
				must.Eq(t, http.StatusBadGateway, r.status)
				must.Eq(t, 1, r.attempts)
				must.Positive(t, r.retryAfter)
				must.StrContains(t, r.body, refuseStronger.remedy)
			}
			must.Positive(t, f.refusals)
			must.Eq(t, refusing == 3, lost > 0)
			time.Sleep(time.Minute)
		})
	}
}

// blockedBody is a body that does not arrive before its request ends.
type blockedBody struct{ ctx context.Context }

func (b blockedBody) Read([]byte) (int, error) {
	<-b.ctx.Done()
	return 0, b.ctx.Err()
}

// TestWeakAnswerOfARefusedStrongerRun guards against a 502 where the weak answer, whose length the server
// stated, has been read before all servers refused the stronger run; and against a weak answer that is cut
// short, or waited for, where its body does not arrive.
func TestWeakAnswerOfARefusedStrongerRun(t *testing.T) {
	const whole = "the weak answer"
	cases := map[string]struct {
		body     func(ctx context.Context) (io.Reader, int)
		answered bool
		longest  time.Duration
	}{
		"arrives":  {func(context.Context) (io.Reader, int) { return strings.NewReader(whole), len(whole) }, true, 0},
		"is empty": {func(context.Context) (io.Reader, int) { return strings.NewReader(""), 0 }, true, 0},
		"does not arrive": {func(ctx context.Context) (io.Reader, int) {
			return io.MultiReader(strings.NewReader(whole[:3]), blockedBody{ctx}), len(whole)
		}, false, keptReadTime},
		"is too long to be kept": {func(context.Context) (io.Reader, int) {
			return strings.NewReader(strings.Repeat("a", clientmemory.FirstResponseBytes)), clientmemory.FirstResponseBytes
		}, false, 0},
	}
	for name, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			f := newPressureFleet(1, map[string]int{"models": 3}, pressureKinds(1), true)
			f.body = c.body
			for _, s := range f.servers {
				s.onlySmall = true
			}
			refused := 0
			for range 60 {
				before := f.refusals
				r := f.send(t.Context(), 0, &f.kinds[0], accountOf(0), time.Now())
				if f.refusals == before {
					continue
				}
				refused++
				must.Eq(t, 1, r.attempts)
				if c.answered {
					must.Eq(t, http.StatusOK, r.status, must.Sprint(name))
					source, _ := c.body(t.Context())
					expected, _ := io.ReadAll(source)
					must.Eq(t, string(expected), r.body)
					must.Eq(t, "small", r.model)
				} else {
					must.Eq(t, http.StatusBadGateway, r.status, must.Sprint(name))
					must.StrContains(t, r.body, refuseStronger.remedy)
					must.Positive(t, r.retryAfter)
				}
				// The run of the small model, and the wait after the first refusal.
				must.LessEq(t, 700*time.Millisecond+c.longest, r.took)
			}
			must.Positive(t, refused, must.Sprint(name))
			synctest.Wait()
			for _, backend := range f.gateways[0].Servers.Serving("models") {
				must.Zero(t, backend.Snapshot().InFlight)
			}
			time.Sleep(time.Minute)
		})
	}
}

// TestKeptAnswersAreAccountedFor guards against weak answers that take memory which is not accounted for,
// that stay accounted for after their request, or that are kept where little memory is left.
func TestKeptAnswersAreAccountedFor(t *testing.T) {
	const little = clientmemory.ConnectionBytes + clientmemory.RequestBytes
	for limit, kept := range map[int64]bool{16 * little: true, little: false} {
		synctest.Test(t, func(t *testing.T) {
			f := newPressureFleet(1, map[string]int{"models": 3}, pressureKinds(1), true)
			f.body = func(context.Context) (io.Reader, int) { return strings.NewReader("weak"), 4 }
			memory, budget := newHolding(t, limit)
			most := int64(0)
			f.onRefusal = func() { most = max(most, budget.Used()) }
			for _, s := range f.servers {
				s.onlySmall = true
			}
			for range 20 {
				before := f.refusals
				r := f.send(clientmemory.NewContext(t.Context(), memory), 0, &f.kinds[0], accountOf(0), time.Now())
				if f.refusals > before {
					must.Eq(t, kept, r.status == http.StatusOK)
				}
				must.Eq(t, int64(clientmemory.ConnectionBytes), budget.Used())
			}
			must.Positive(t, f.refusals)
			expected := int64(little)
			if kept {
				expected += clientmemory.FirstResponseBytes
			}
			must.Eq(t, expected, most)
			time.Sleep(time.Minute)
		})
	}
}

// TestWeakAnswerOfABrokenStrongerRun guards against a 502 where all servers end during the stronger run and
// the weak answer has been read.
func TestWeakAnswerOfABrokenStrongerRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newPressureFleet(1, map[string]int{"models": 2}, pressureKinds(1), true)
		f.body = func(context.Context) (io.Reader, int) { return strings.NewReader("weak"), 4 }
		broken := 0
		for range 20 {
			for _, s := range f.servers {
				s.start()
			}
			id, ended := f.newID(), make(chan result, 1)
			go func() { ended <- f.sendAs(t.Context(), id, 0, &f.kinds[0], accountOf(0), time.Now()) }()
			for len(ended) == 0 {
				time.Sleep(time.Millisecond)
				f.mu.Lock()
				stronger := f.runs[id] == 2
				f.mu.Unlock()
				if stronger {
					for _, s := range f.servers {
						s.stop()
					}
					broken++
					break
				}
			}
			r := <-ended
			must.Eq(t, http.StatusOK, r.status)
			must.Eq(t, "small", r.model)
			must.Eq(t, "weak", r.body)
		}
		must.Positive(t, broken)
		time.Sleep(time.Minute)
	})
}

// TestWeakAnswerOfAStrongerRunThatIsCutShort guards against a 502, or a response that mixes both answers,
// where the stronger answers break off within their bodies and the weak answer has been read.
func TestWeakAnswerOfAStrongerRunThatIsCutShort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newPressureFleet(1, map[string]int{"models": 3}, pressureKinds(1), true)
		bodies := 0
		f.body = func(context.Context) (io.Reader, int) {
			if bodies++; bodies == 1 {
				return strings.NewReader("weak"), 4
			}
			return io.MultiReader(strings.NewReader("strong"), iotest.ErrReader(io.ErrUnexpectedEOF)), 12
		}
		stronger := 0
		for range 20 {
			bodies = 0
			r := f.send(t.Context(), 0, &f.kinds[0], accountOf(0), time.Now())
			must.Eq(t, http.StatusOK, r.status)
			must.Eq(t, "small", r.model)
			must.Eq(t, "weak", r.body)
			must.False(t, r.closed)
			if bodies > 1 {
				stronger++
			}
		}
		must.Positive(t, stronger)
		time.Sleep(time.Minute)
	})
}
