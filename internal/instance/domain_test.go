package instance_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"medlarslip/internal/coordination/routing"
	"medlarslip/internal/protocol/platform"
	"medlarslip/internal/standin/engineserver"
	"medlarslip/internal/standin/localfleet"
	"medlarslip/internal/standin/loopback"
	"medlarslip/internal/state/requests"
	"medlarslip/internal/transport/adminapi"
)

// awaitConfiguration waits until an instance reports that a document with at
// least the given number is in force.
func awaitConfiguration(t *testing.T, admin string, number int64) {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
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

// sendRequests sends requests to the instances in turn; all must be answered.
// Their prompts differ, so that prefix cache affinity does not route all of them
// to one server. It returns the candidates that the instances considered.
func sendRequests(t *testing.T, entries []*localfleet.Entry, count int) []requests.Candidate {
	t.Helper()
	candidates := []requests.Candidate{}
	for i := range count {
		entry := entries[i%len(entries)]
		r, err := localfleet.Call(entry.Callers, fasthttp.MethodPost, "/v1/chat/completions", localfleet.PromptBody(fmt.Sprintf("prompt %d", i)), "")
		must.NoError(t, checkWhole(r, err))
		for _, attempt := range explain(t, entry, r.RequestID).Attempts {
			candidates = append(candidates, attempt.Candidates...)
		}
	}
	return candidates
}

// explain returns the explanation of a request by the instance that answered it.
func explain(t *testing.T, entry *localfleet.Entry, requestID string) *requests.Explanation {
	t.Helper()
	r, err := localfleet.Call(entry.Admin, fasthttp.MethodGet, adminapi.ExplainPathPrefix+requestID, "", "")
	must.NoError(t, err)
	explanation := &requests.Explanation{}
	must.NoError(t, json.Unmarshal([]byte(r.Body), explanation))
	must.SliceNotEmpty(t, explanation.Attempts)
	return explanation
}

func TestFailureDomainTakenOutGetsNoNewWorkUntilItIsBack(t *testing.T) {
	const requestsPerRound = 40
	f := localfleet.New(t)
	other := engineserver.New(engineserver.Config{Tokens: localfleet.AnswerTokens, MaxRunning: 1000})
	f.AddBackendIn("wdh-b", "engine-2", platform.RoleEngine, loopback.Serve(t, other.Handle), "small-1", "large-1")
	entries := []*localfleet.Entry{f.Start("entry-1"), f.Start("entry-2")}
	defer f.StopAll()
	sendRequests(t, entries, requestsPerRound)
	must.Positive(t, len(f.Engine.Calls()))
	must.Positive(t, len(other.Calls()))

	f.Publish(strings.Replace(localfleet.Document, "{name: wdh-a, out: false}", "{name: wdh-a, out: true}", 1))
	for _, entry := range entries {
		awaitConfiguration(t, entry.Admin, 2)
	}
	before := len(f.Engine.Calls())
	for _, candidate := range sendRequests(t, entries, requestsPerRound) {
		must.Eq(t, candidate.ID == "engine-1", candidate.Dropped == routing.DroppedDomainOut)
	}
	must.Eq(t, before, len(f.Engine.Calls()))

	f.Publish(localfleet.Document)
	for _, entry := range entries {
		awaitConfiguration(t, entry.Admin, 3)
	}
	// The server is a candidate at once, but until the next load report a stale
	// one may show it busier than the other.
	deadline := time.Now().Add(testTimeout)
	for len(f.Engine.Calls()) == before {
		must.True(t, time.Now().Before(deadline))
		for _, candidate := range sendRequests(t, entries, requestsPerRound) {
			must.Eq(t, "", candidate.Dropped)
		}
	}
}
