package console

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"medlarslip/internal/protocol/document"
	"medlarslip/internal/protocol/platform"
	"medlarslip/internal/protocol/records"
	"medlarslip/internal/standin/logservice"
	"medlarslip/internal/transport/adminapi"
)

func TestPublishShowsWhereTheDocumentIsInForce(t *testing.T) {
	f := newTestFleet(t)
	b := f.signIn()
	f.statuses["10.0.0.1:8300"] = adminapi.Status{Instance: "entry-a1", Configuration: 1, Hash: f.inForce().Hash}
	f.statuses["10.0.0.2:9999"] = adminapi.Status{Instance: "entry-b1", Configuration: 1, Hash: f.inForce().Hash}
	f.refresh()
	b.takeOut("wdh-b")
	must.Eq(t, f.server.root+"/published", b.publish("storm").location)
	current := f.inForce()
	must.Eq(t, "anna", current.Envelope.Operator)
	must.Eq(t, "storm", current.Envelope.Reason)
	must.True(t, current.Index.DomainOut("wdh-b"))

	got := b.get("/published")
	mustContain(t, got.body, "Document 2 is accepted and in force in <strong>0 of 2</strong>", "not yet in force")
	must.Eq(t, "3", got.refresh)
	f.statuses["10.0.0.1:8300"] = adminapi.Status{Instance: "entry-a1", Configuration: 2, Hash: current.Hash}
	delete(f.statuses, "10.0.0.2:9999")
	f.now = f.now.Add(7 * time.Second)
	f.refresh()
	got = b.get("/published")
	mustContain(t, got.body, "<strong>1 of 2</strong> entry instances; 1 can't be reached", "can't be reached; document 1 when last seen", "7 s ago")
	f.statuses["10.0.0.2:9999"] = adminapi.Status{Instance: "entry-b1", Configuration: 3, Hash: "newer"}
	f.refresh()
	got = b.get("/published")
	mustContain(t, got.body, "<strong>2 of 2</strong>")
	must.Eq(t, "", got.refresh)
}

func TestStatusOfAnotherInstanceIsIgnored(t *testing.T) {
	f := newTestFleet(t)
	b := f.signIn()
	f.statuses["10.0.0.1:8300"] = adminapi.Status{Instance: "entry-z9", Configuration: 1, Hash: f.inForce().Hash}
	f.refresh()
	mustContain(t, b.get("/").body, "<strong>0 of 2</strong> entry instances; 2 can't be reached")
}

func TestPublishRefusals(t *testing.T) {
	f := newTestFleet(t)
	b := f.signIn()
	b.takeOut("wdh-b")
	seal := f.server.sessions.get(b.cookie).draft.digest()
	cases := []struct {
		name, seal, reason, read, want string
	}{
		{"no reason", seal, " ", "yes", "the reason is empty; say why"},
		{"invisible character", seal, "a\u202eb", "yes", "the reason holds a line break or an invisible character"},
		{"warnings not confirmed", seal, "storm", "", "the box is not ticked; read the warnings"},
		{"draft changed since the review", "0", "storm", "yes", "The draft has changed since this page was shown to you"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			got := b.post("/draft/publish", "seal", tc.seal, "reason", tc.reason, "warnings_read", tc.read)
			must.Eq(t, fasthttp.StatusUnprocessableEntity, got.status)
			mustContain(t, got.body, tc.want)
			must.Eq(t, 1, f.inForce().Envelope.Number)
		})
	}
}

func TestDigestCoversTheWholeDraft(t *testing.T) {
	f := newTestFleet(t)
	b := f.signIn()
	b.takeOut("wdh-b")
	d := f.server.sessions.get(b.cookie).draft
	seal := d.digest()
	must.StrContains(t, b.get("/draft").body, d.text())
	d.doc.Kinds[0].Priority++
	must.NotEq(t, seal, d.digest())
}

func TestConcurrentPublicationIsAConflict(t *testing.T) {
	f := newTestFleet(t)
	b := f.signIn()
	b.takeOut("wdh-b")
	b.post("/item", "of", "cascades", "item", "draft", "steps", "small", "steps", "large", "quality_target", "0.9", "when_withdrawn", "reassign")
	f.publishAs("ben", "cheaper", func(d *document.Document) {
		d.Cascades[0].QualityTarget = 0.7
		d.Kinds[0].Priority = 11
	})
	got := b.publish("storm")
	must.Eq(t, fasthttp.StatusConflict, got.status)
	mustContain(t, got.body, "Not published: a colleague was faster", "<dd>ben</dd>", "<dd>cheaper</dd>", "quality target from 0.8 to 0.7", "Failure domain wdh-b is taken out")
	mustContain(t, b.get("/").body, "A colleague's document came into force")
	must.StrNotContains(t, got.body, "Sign as anna")

	must.Eq(t, f.server.root+"/draft", b.post("/draft/redo").location)
	got = b.get("/draft")
	mustContain(t, got.body, "Not applied: changed by both of you", "quality target from 0.8 to 0.9", "Made from document 2 by ben", `value="storm"`)
	must.Eq(t, f.server.root+"/published", b.publish("storm").location)
	doc := f.inForce().Index.Document()
	must.Eq(t, 0.7, doc.Cascades[0].QualityTarget)
	must.Eq(t, 11, doc.Kinds[0].Priority)
	must.True(t, f.inForce().Index.DomainOut("wdh-b"))
}

func TestRebaseOnTheSameChangeLeavesNoDraft(t *testing.T) {
	f := newTestFleet(t)
	b := f.signIn()
	b.takeOut("wdh-b")
	f.publishAs("ben", "storm", func(d *document.Document) { d.FailureDomains[1].Out = true })
	f.refresh()
	b.post("/draft/redo")
	mustContain(t, b.get("/draft").body, "Nothing is left to do", "You have changed nothing")
}

func TestInvalidRebaseIsNotSigned(t *testing.T) {
	f := newTestFleet(t)
	b := f.signIn()
	b.takeOut("wdh-b")
	f.publishAs("ben", "storm", func(d *document.Document) { d.FailureDomains[0].Out = true })
	f.refresh()
	b.post("/draft/redo")
	got := b.get("/draft")
	mustContain(t, got.body, "The draft is not valid.", "failure domains: all are out; leave at least one in service")
	must.StrNotContains(t, got.body, "Sign as anna")
	seal := f.server.sessions.get(b.cookie).draft.digest()
	got = b.post("/draft/publish", "seal", seal, "reason", "storm", "warnings_read", "yes")
	mustContain(t, got.body, "Not published: the draft is not valid.")
	must.Eq(t, 2, f.inForce().Envelope.Number)
	b.post("/domains", "state-wdh-a", "yes", "state-wdh-b", "no")
	must.Eq(t, f.server.root+"/published", b.publish("swap").location)
}

func TestPublishWhileTheLogIsDown(t *testing.T) {
	synctest.Test(t, publishWhileTheLogIsDown)
}

func publishWhileTheLogIsDown(t *testing.T) {
	f := newTestFleet(t)
	b := f.signIn()
	f.log.SetOutage(true)
	f.now = f.now.Add(40 * time.Second)
	must.Error(t, f.server.Refresh(t.Context()))
	mustContain(t, b.get("/").body, "The log service does not answer.", "last read 40 s ago", "<dd>first configuration</dd>")
	mustContain(t, b.get("/audit").body, "The log service can't be read now.")
	b.takeOut("wdh-b")
	got := b.publish("storm")
	mustContain(t, got.body, "Not published: the log service did not take the document. Your draft is kept")
	f.log.SetOutage(false)
	f.refresh()
	must.StrNotContains(t, b.get("/").body, "does not answer")
	must.Eq(t, f.server.root+"/published", b.publish("storm").location)
}

// TestPublishWithUnknownOutcome loses the request to the log service or its
// answer, while reads fail too, so the console can't tell whether the document
// was appended. Publishing again must not append a second document. The next
// read must confirm the document if it was appended. Time is virtual, since a
// publisher retries until its deadline.
func TestPublishWithUnknownOutcome(t *testing.T) {
	for _, fault := range []logservice.Fault{logservice.FaultLoseAnswer, logservice.FaultLoseRequest} {
		for _, again := range []bool{true, false} {
			synctest.Test(t, func(t *testing.T) { publishWithUnknownOutcome(t, fault, again) })
		}
	}
}

func publishWithUnknownOutcome(t *testing.T, fault logservice.Fault, again bool) {
	f := newTestFleet(t)
	b := f.signIn()
	b.takeOut("wdh-b")
	f.log.OnAppend(func(string, []json.RawMessage) logservice.Fault { return fault })
	f.log.OnRead(func(string, int64) logservice.Fault { return logservice.FaultRefuse })
	got := b.publish("storm")
	must.Eq(t, fasthttp.StatusConflict, got.status)
	mustContain(t, got.body, "It is not known yet whether your document is published")
	f.log.SetOutage(false)
	if again {
		must.Eq(t, f.server.root+"/published", b.publish("storm").location)
		must.Eq(t, 2, f.inForce().Envelope.Number)
		return
	}
	f.refresh()
	page := b.get("/draft").body
	if fault == logservice.FaultLoseAnswer {
		mustContain(t, page, "Your document was accepted after all")
	} else {
		mustContain(t, page, "Sign as anna and publish")
	}
}

// TestSameDocumentByColleague publishes as ben the same text whose publication
// by anna had an unknown outcome. The console must not report it as hers.
func TestSameDocumentByColleague(t *testing.T) {
	synctest.Test(t, sameDocumentByColleague)
}

func sameDocumentByColleague(t *testing.T) {
	f := newTestFleet(t)
	b := f.signIn()
	b.takeOut("wdh-b")
	f.log.OnAppend(func(string, []json.RawMessage) logservice.Fault { return logservice.FaultLoseRequest })
	must.Eq(t, fasthttp.StatusConflict, b.publish("storm").status)
	f.log.OnAppend(nil)
	f.publishAs("ben", "storm", func(d *document.Document) { d.FailureDomains[1].Out = true })
	f.refresh()
	mustContain(t, b.get("/draft").body, "A colleague was faster", "<dd>ben</dd>")
	must.Eq(t, f.server.root+"/", b.get("/published").location)
}

func TestDiscard(t *testing.T) {
	f := newTestFleet(t)
	b := f.signIn()
	b.takeOut("wdh-b")
	must.Eq(t, f.server.root+"/", b.post("/draft/discard").location)
	mustContain(t, b.get("/draft").body, "You have changed nothing")
	must.Eq(t, f.server.root+"/draft", b.post("/draft/publish").location)
	must.Eq(t, f.server.root+"/", b.get("/published").location)
	must.Eq(t, 1, f.inForce().Envelope.Number)
}

func TestDraftsBelongToOneSession(t *testing.T) {
	f := newTestFleet(t)
	first, second := f.signIn(), f.signIn()
	first.takeOut("wdh-b")
	mustContain(t, second.get("/draft").body, "You have changed nothing")
}

func TestInstanceListDown(t *testing.T) {
	f := newTestFleet(t)
	b := f.signIn()
	f.listDown = true
	f.now = f.now.Add(3 * time.Minute)
	f.refresh()
	mustContain(t, b.get("/").body, "The instance list can't be read now. The instances shown are those of the list read 3 min ago", "entry-a1")
	must.Eq(t, pollPeriod, f.server.fleet.period())
	f.now = f.now.Add(viewedWindow)
	must.Eq(t, idlePollPeriod, f.server.fleet.period())
}

func TestAuditTrail(t *testing.T) {
	f := newTestFleet(t)
	b := f.signIn()
	base := f.inForce()
	f.publishAs("ben", "more room", func(d *document.Document) { d.ClientAccounts[0].MaxInFlight = 300 })
	_, err := f.publisher("anna").Publish(t.Context(), base, base.Index.Document(), "too late")
	must.Error(t, err)
	raw, err := json.Marshal(records.Audit{Actor: "entry-a1", Action: "halt", Subject: "small-2-trial", Reason: "bad ratings", Time: "2026-12-04T08:00:00Z"})
	must.NoError(t, err)
	for range 2 { // the second is a retry of the same append
		_, err = f.log.Append(t.Context(), platform.StreamAudit, []json.RawMessage{raw})
		must.NoError(t, err)
	}
	got := b.get("/audit").body
	mustContain(t, got, "Document 2 by ben", "more room", "limit of requests in progress from 200 to 300", "Document 2 by anna", "Not accepted: ", "bad ratings")
	must.SliceLen(t, 1, f.server.history.automatic)
	must.SliceLen(t, 3, f.server.history.documents)
}

func TestAuditTrailAfterRetention(t *testing.T) {
	f := newTestFleet(t)
	f.publishAs("ben", "two", func(d *document.Document) { d.Kinds[0].Priority = 2 })
	f.log.Trim(platform.StreamConfiguration, 1)
	mustContain(t, f.signIn().get("/audit").body, "Document 2 by ben", "Not known: the records before it are no longer kept")
}

func TestLargeFleetShowsWhatIsBehind(t *testing.T) {
	f := newTestFleet(t)
	for i := range maxExpandedRows {
		f.list.Instances = append(f.list.Instances, platform.Instance{ID: fmt.Sprintf("entry-%d", i), Role: platform.RoleEntry})
	}
	f.refresh()
	mustContain(t, f.signIn().get("/").body, "<caption>Entry instances that are behind or can't be reached (list read just now)", "<summary>All 22 entry instances")
}

func TestInstancePage(t *testing.T) {
	f := newTestFleet(t)
	b := f.signIn()
	must.Eq(t, fasthttp.StatusNotFound, b.get("/instance?id=entry-z9").status)
	mustContain(t, b.get("/instance?id=entry-a1").body, "The instance gives no metrics now. What follows was read never")
	f.statuses["10.0.0.1:8300"] = adminapi.Status{Instance: "entry-a1", Configuration: 1, Hash: f.inForce().Hash}
	f.refresh()
	mustContain(t, b.get("/instance?id=entry-a1").body, "caller_refusals", `{"not_allowed": 3}`, "in force", "10.0.0.1:8300")
	delete(f.statuses, "10.0.0.1:8300")
	f.now = f.now.Add(9 * time.Second)
	mustContain(t, b.get("/instance?id=entry-a1").body, "What follows was read 9 s ago", "caller_refusals")
	f.list.Instances = f.list.Instances[1:]
	f.refresh()
	must.MapEmpty(t, f.server.fleet.metrics)
}

func TestRunShutsDownCleanly(t *testing.T) {
	// The context may end before the server accepts its first connection.
	for _, stopAtOnce := range []bool{true, false} {
		for range 20 {
			runAndStop(t, stopAtOnce)
		}
	}
}

func runAndStop(t *testing.T, stopAtOnce bool) {
	f := newTestFleet(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	if stopAtOnce {
		cancel()
	}
	announced := make(chan string, 1)
	f.server.opts.Announce = func(url string) { announced <- url }
	done := make(chan error, 1)
	go func() { done <- f.server.Run(ctx, listener) }()
	must.StrContains(t, <-announced, "/login?token=")
	cancel()
	must.NoError(t, <-done)
}
