package instance_test

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"medlarslip/internal/standin/engineserver"
	"medlarslip/internal/standin/localfleet"
)

// testTimeout bounds the wait of a test; a test that reaches it fails.
const testTimeout = 30 * time.Second

// TestThreeInstancesTogetherSendAColdEngineNoMoreThanItBears guards against the
// overload of a cold engine when each instance respects the cold limit but all
// together exceed it. The engine fails as soon as more requests than its limit
// run at once, whichever instances send them.
func TestThreeInstancesTogetherSendAColdEngineNoMoreThanItBears(t *testing.T) {
	const (
		callers = 24
		answers = 3 // per caller
	)
	engine := engineserver.New(engineserver.Config{
		Tokens: localfleet.AnswerTokens, TokenTime: time.Millisecond, MaxRunning: 1000, Resumable: true, ColdLimit: 2, ColdAnswers: 10,
	})
	f := localfleet.NewWithEngine(t, engine)
	f.Publish(strings.Replace(localfleet.Document, "cold_limits: []", "cold_limits:\n  - {target: small, max_in_flight: 2, warm_after_requests: 10}", 1))
	var addresses []string
	for _, id := range []string{"entry-1", "entry-2", "entry-3"} {
		addresses = append(addresses, f.Start(id).Callers)
	}
	deadline := time.Now().Add(testTimeout)
	var group errgroup.Group
	for i := range callers {
		group.Go(func() error {
			for answered := 0; answered < answers && time.Now().Before(deadline); {
				r, err := localfleet.Call(addresses[i%len(addresses)], fasthttp.MethodPost, "/v1/chat/completions", localfleet.ChatBody(false), "")
				if err != nil {
					return err
				}
				if r.Status == fasthttp.StatusOK {
					answered++
					continue
				}
				time.Sleep(5 * time.Millisecond)
			}
			return nil
		})
	}
	must.NoError(t, group.Wait())
	must.Eq(t, 0, engine.ColdCrashes())
	must.Greater(t, 2, engine.Peak(), must.Sprint("the warm engine has not run more requests than the cold limit"))
	f.StopAll()
}
