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

// deadlineCodec decodes every call to one with the given deadline.
type deadlineCodec struct {
	Codec
	deadline time.Duration
}

func (c deadlineCodec) DecodeCall(http.Header) (Call, error) { return Call{Deadline: c.deadline}, nil }

type noMetrics struct{}

func (noMetrics) Answered(string, string, time.Duration)  {}
func (noMetrics) Attempted(string, string, time.Duration) {}

func (noMetrics) Placed(string, string) {}

func (noMetrics) Predicted(string, float64, float64)          {}
func (noMetrics) Admitted(string, int, string, time.Duration) {}
func (noMetrics) Sized(string, string, string, time.Duration) {}
func (noMetrics) SizePredicted(string, string, float64)       {}
func (noMetrics) Excess(string)                               {}

// startingInstance is an instance that receives its configuration, which has no
// routes, knownAfter its start, and expects it for expectedFor.
type startingInstance struct{ knownAfter, expectedFor, deadline time.Duration }

func (s startingInstance) gateway() *Gateway {
	began := time.Now()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return New(Options{
		Codec: deadlineCodec{deadline: s.deadline}, Log: logrus.NewEntry(logger), Metrics: noMetrics{},
		Bounds: func() Bounds { return Bounds{MaxProofAge: time.Second} },
		ConfigurationExpected: func() time.Duration {
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

// serve sends a request and returns the status of the response and its duration.
func serve(ctx context.Context, g *Gateway, body string) (int, time.Duration) {
	began := time.Now()
	recorder := httptest.NewRecorder()
	g.ServeHTTP(recorder, httptest.NewRequestWithContext(ctx, http.MethodPost, "/", strings.NewReader(body)))
	return recorder.Code, time.Since(began)
}

// TestRestartOfAllInstances guards against refusals after a restart of all
// instances: clients whose requests were cut retry at once, before the instances
// have read the configuration.
func TestRestartOfAllInstances(t *testing.T) {
	cases := []struct {
		name     string
		instance startingInstance
		body     string
		status   int
		within   time.Duration
	}{
		{"configuration comes", startingInstance{500 * time.Millisecond, 2 * time.Second, 5 * time.Second}, "short", http.StatusNotFound, 600 * time.Millisecond},
		{"it is not expected", startingInstance{500 * time.Millisecond, 0, 5 * time.Second}, "short", http.StatusServiceUnavailable, 0},
		{"it does not come", startingInstance{time.Hour, 300 * time.Millisecond, 5 * time.Second}, "short", http.StatusServiceUnavailable, 400 * time.Millisecond},
		{"the client has no time", startingInstance{time.Hour, time.Hour, time.Second}, "short", http.StatusServiceUnavailable, 350 * time.Millisecond},
		{"the client has much time", startingInstance{time.Hour, time.Hour, time.Minute}, "short", http.StatusServiceUnavailable, time.Second},
		{"the body is too large for the configuration", startingInstance{100 * time.Millisecond, time.Second, time.Minute}, "far longer", http.StatusNotFound, 200 * time.Millisecond},
		{"the body is too large to be kept", startingInstance{100 * time.Millisecond, time.Second, time.Minute}, strings.Repeat("x", maxWaitingBody+1), http.StatusServiceUnavailable, 0},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			status, took := serve(t.Context(), c.instance.gateway(), c.body)
			must.Eq(t, c.status, status, must.Sprint(c.name))
			must.LessEq(t, c.within, took, must.Sprint(c.name))
		})
	}
}

// TestWaitingIsBounded checks that requests above the limit are refused at once,
// and that the requests of clients that disconnect stop waiting.
func TestWaitingIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := startingInstance{time.Hour, time.Hour, time.Minute}.gateway()
		ctx, leave := context.WithCancel(t.Context())
		for range maxWaiting {
			go serve(ctx, g, "")
		}
		synctest.Wait()
		status, took := serve(t.Context(), g, "")
		must.Eq(t, http.StatusServiceUnavailable, status)
		must.Zero(t, took)
		leave()
		synctest.Wait()
		must.Zero(t, g.waiting.Load())
	})
}
