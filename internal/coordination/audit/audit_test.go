package audit_test

import (
	"context"
	"crypto/ed25519"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/coordination/audit"
	"medlarslip/internal/coordination/configuration"
	"medlarslip/internal/protocol/document"
	"medlarslip/internal/protocol/platform"
	"medlarslip/internal/protocol/signed"
	"medlarslip/internal/standin/logservice"
)

func sampleDocument() *document.Document {
	return &document.Document{
		Schema:         document.SchemaVersion,
		Models:         []document.Model{{Name: "small", Versions: []document.Version{{ID: "small-1", Quality: 0.5}}}},
		Cascades:       []document.Cascade{{Name: "draft", Steps: []string{"small"}, QualityTarget: 0.4, WhenWithdrawn: document.FallbackRefuse}},
		Kinds:          []document.Kind{{Name: "report", FirstTokenMillis: 1000, TotalMillis: 2000}},
		FailureDomains: []document.FailureDomain{{Name: "a"}},
	}
}

func TestTrailListsChangesInOrder(t *testing.T) {
	service := logservice.New(0)
	public, private, err := ed25519.GenerateKey(nil)
	must.NoError(t, err)
	keys := signed.OperatorKeys{"anna": public}
	anna := configuration.Publisher{Log: service, Keys: keys, Operator: "anna", Key: private, Now: time.Now}
	var documents []*configuration.InForce
	publish := func(base *configuration.InForce, reason string) {
		accepted, _ := anna.Publish(context.Background(), base, sampleDocument(), reason)
		documents = append(documents, accepted)
	}
	change := func(after int, action string) {
		store := configuration.NewStore(keys)
		must.NoError(t, store.ApplyFromPeer(&documents[after].Envelope))
		trail := audit.NewTrail(service, store, nil, "entry-1", action)
		trail.Record(audit.Change{Action: action, Subject: "small-1", Reason: "its ratings fell"})
		done, cancel := context.WithCancel(context.Background())
		cancel()
		must.NoError(t, trail.Run(done))
	}
	publish(nil, "first")
	publish(documents[0], "second")
	change(1, "halt")
	publish(documents[0], "too late")
	// An instance that lags writes after those that do not.
	change(0, "breaker_open")
	publish(documents[1], "third")
	_, err = service.Append(context.Background(), platform.StreamAudit, []json.RawMessage{json.RawMessage(`"garbage"`)})
	must.NoError(t, err)

	entries, err := audit.Read(context.Background(), service, keys)
	must.NoError(t, err)
	got := make([]string, 0, len(entries))
	for _, entry := range entries {
		reason, _, _ := strings.Cut(entry.Why, " (")
		got = append(got, strings.Join([]string{string(entry.Verdict), entry.Actor, reason}, " "))
	}
	must.Eq(t, []string{
		"missing log service its record is unreadable",
		"accepted anna first",
		"automatic entry-1 its ratings fell",
		"accepted anna second",
		"rejected anna too late",
		"automatic entry-1 its ratings fell",
		"accepted anna third",
	}, got)
	must.StrContains(t, entries[4].Why, "was not made from document 2 in force")
	must.StrContains(t, entries[5].String(), "halt small-1: its ratings fell")
}
