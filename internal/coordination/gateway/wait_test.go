package gateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"medlarslip/internal/boottime"
	"medlarslip/internal/protocol/routes"
)

// plainCodec knows nothing but the deadline of a call.
type plainCodec struct {
	Codec
	deadline time.Duration
}

func (c plainCodec) DecodeCall(http.Header) (Call, error) { return Call{Deadline: c.deadline}, nil }

type noMetrics struct{}

func (noMetrics) Answered(string, string, time.Duration)  {}
func (noMetrics) Attempted(string, string, time.Duration) {}

// starting is an instance that gets its configuration, without any route, some
// time after it has started, and expects it until a moment.
type starting struct{ knownAfter, expectedFor, deadline time.Duration }

func (s starting) gateway() *Gateway {
	began := time.Now()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return New(Options{
		Codec: plainCodec{deadline: s.deadline}, Log: logrus.NewEntry(logger), Metrics: noMetrics{},
		Bounds: func() Bounds { return Bounds{MaxProofAge: time.Second} },
		Expected: func() time.Duration {
			return max(s.expectedFor-time.Since(began), 0)
		},
		Current: func() Configuration {
			if time.Since(began) < s.knownAfter {
				return Configuration{}
			}
			return Configuration{Index: routes.Compile(&routes.Table{Limits: routes.Limits{BodyBytes: 8}}), ProvenAt: boottime.Now()}
		},
	})
}

// answer sends a request and returns its status and how long it took.
func answer(ctx context.Context, g *Gateway, body string) (int, time.Duration) {
	began := time.Now()
	recorder := httptest.NewRecorder()
	g.ServeHTTP(recorder, httptest.NewRequestWithContext(ctx, http.MethodPost, "/", strings.NewReader(body)))
	return recorder.Code, time.Since(began)
}

// TestRestartOfAllInstances: clients whose requests were cut come back at once,
// while the instances have not read the configuration again.
func TestRestartOfAllInstances(t *testing.T) {
	cases := []struct {
		name     string
		instance starting
		body     string
		status   int
		within   time.Duration
	}{
		{"configuration comes", starting{500 * time.Millisecond, 2 * time.Second, 5 * time.Second}, "short", http.StatusNotFound, 600 * time.Millisecond},
		{"it is not expected", starting{500 * time.Millisecond, 0, 5 * time.Second}, "short", http.StatusServiceUnavailable, 0},
		{"it does not come", starting{time.Hour, 300 * time.Millisecond, 5 * time.Second}, "short", http.StatusServiceUnavailable, 400 * time.Millisecond},
		{"the client has no time", starting{time.Hour, time.Hour, time.Second}, "short", http.StatusServiceUnavailable, 350 * time.Millisecond},
		{"the client has much time", starting{time.Hour, time.Hour, time.Minute}, "short", http.StatusServiceUnavailable, time.Second},
		{"the body is too large for the configuration", starting{100 * time.Millisecond, time.Second, time.Minute}, "far longer", http.StatusNotFound, 200 * time.Millisecond},
		{"the body is too large to be kept", starting{100 * time.Millisecond, time.Second, time.Minute}, strings.Repeat("x", waitingBytes+1), http.StatusServiceUnavailable, 0},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			status, took := answer(t.Context(), c.instance.gateway(), c.body)
			must.Eq(t, c.status, status, must.Sprint(c.name))
			must.LessEq(t, c.within, took, must.Sprint(c.name))
		})
	}
}

// TestWaitingIsBounded: what is over the bound is refused at once, and a client
// that leaves waits no longer.
func TestWaitingIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := starting{time.Hour, time.Hour, time.Minute}.gateway()
		ctx, leave := context.WithCancel(t.Context())
		for range maxWaiting {
			go answer(ctx, g, "")
		}
		synctest.Wait()
		status, took := answer(t.Context(), g, "")
		must.Eq(t, http.StatusServiceUnavailable, status)
		must.Zero(t, took)
		leave()
		synctest.Wait()
		must.Zero(t, g.waiting.Load())
	})
}
