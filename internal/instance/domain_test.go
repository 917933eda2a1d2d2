package instance_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"medlarslip/internal/protocol/platform"
	"medlarslip/internal/standin/engineserver"
	"medlarslip/internal/standin/localfleet"
	"medlarslip/internal/standin/loopback"
	"medlarslip/internal/transport/adminapi"
)

// awaitConfiguration waits until an instance says that a document is in force.
func awaitConfiguration(t *testing.T, admin string, number int64) {
	t.Helper()
	deadline := time.Now().Add(answerLimit)
	for {
		var status adminapi.Status
		r, err := localfleet.Call(admin, fasthttp.MethodGet, adminapi.StatusPath, "", "")
		if err == nil && json.Unmarshal([]byte(r.Body), &status) == nil && status.Configuration >= number {
			return
		}
		must.True(t, time.Now().Before(deadline))
		time.Sleep(5 * time.Millisecond)
	}
}

// ask sends requests through each instance in turn; all must be answered. Their
// prompts differ, so that no prefix cache draws all to one server.
func ask(t *testing.T, entries []*localfleet.Entry, count int) {
	t.Helper()
	for i := range count {
		r, err := localfleet.Call(entries[i%len(entries)].Callers, fasthttp.MethodPost, "/v1/chat/completions", localfleet.PromptBody(fmt.Sprintf("prompt %d", i)), "")
		must.NoError(t, checkWhole(r, err))
	}
}

func TestFailureDomainTakenOutGetsNoNewWorkUntilItIsBack(t *testing.T) {
	const requests = 40
	f := localfleet.New(t)
	other := engineserver.New(engineserver.Config{Tokens: localfleet.AnswerTokens, MaxRunning: 1000})
	f.AddBackendIn("wdh-b", "engine-2", platform.RoleEngine, loopback.Serve(t, other.Handle), "small-1", "large-1")
	entries := []*localfleet.Entry{f.Start("entry-1"), f.Start("entry-2")}
	defer f.StopAll()
	ask(t, entries, requests)
	must.Positive(t, len(f.Engine.Calls()))
	must.Positive(t, len(other.Calls()))

	f.Publish(strings.Replace(localfleet.Document, "{name: wdh-a, out: false}", "{name: wdh-a, out: true}", 1))
	for _, entry := range entries {
		awaitConfiguration(t, entry.Admin, 2)
	}
	before := len(f.Engine.Calls())
	ask(t, entries, requests)
	must.Eq(t, before, len(f.Engine.Calls()))

	f.Publish(localfleet.Document)
	for _, entry := range entries {
		awaitConfiguration(t, entry.Admin, 3)
	}
	ask(t, entries, requests)
	must.Greater(t, before, len(f.Engine.Calls()))
}
