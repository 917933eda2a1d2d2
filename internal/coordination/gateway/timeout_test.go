package gateway

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/coordination/admission"
	"medlarslip/internal/coordination/prefill"
	"medlarslip/internal/protocol/routes"
	"medlarslip/internal/state/backends"
)

// TestHeaderTimeout guards against waiting for a server that runs requests but
// loses the responses. It must time out early enough for another server to
// answer. A server with a queue, with long prompts to prefill or without a fresh
// load report gets the full timeout.
func TestHeaderTimeout(t *testing.T) {
	const objective = 2 * time.Second
	now := time.Unix(1000, 0)
	cases := []struct {
		name           string
		load           backends.Load
		before, prompt time.Duration
		want           time.Duration
	}{
		{"idle", backends.Load{Running: 4, ReadAt: now}, 0, 50 * time.Millisecond, objective / 2},
		{"slow by four times", backends.Load{ReadAt: now}, 0, 400 * time.Millisecond, 2200 * time.Millisecond},
		{"reads long prompts", backends.Load{ReadAt: now}, time.Second, time.Second, streamHeaderTimeoutFactor * objective},
		{"has a queue", backends.Load{Waiting: 1, ReadAt: now}, 0, 50 * time.Millisecond, streamHeaderTimeoutFactor * objective},
		{"old report", backends.Load{ReadAt: now.Add(-2 * admission.MaxReportAge)}, 0, 50 * time.Millisecond, streamHeaderTimeoutFactor * objective},
		{"no report", backends.Load{}, 0, 50 * time.Millisecond, streamHeaderTimeoutFactor * objective},
		{"no prompt", backends.Load{ReadAt: now}, 0, 0, streamHeaderTimeoutFactor * objective},
	}
	g := New(Options{})
	for _, c := range cases {
		req := &request{route: &routes.Route{Kind: routes.Stream, Resumable: true, MaxAttempts: 3, Objective: objective}}
		choice := &selection{prompt: prefill.Estimate{Time: c.prompt}, snapshot: backends.Snapshot{Load: c.load, Prefill: c.before}}
		must.Eq(t, c.want, g.headerTimeout(req, choice, now), must.Sprint(c.name))
		req.sent = 2
		must.Eq(t, noTimeout, g.headerTimeout(req, choice, now), must.Sprint(c.name))
	}
}
