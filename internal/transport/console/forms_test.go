package console

import (
	"net/url"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"medlarslip/internal/protocol/document"
)

const (
	testKey     = "a-long-random-key-0123"
	testKeyHash = "3f1a7d4ee7f2f7a0e5ab3d16d8a4ad7a8bd1d76e5a7d8a9a0f1f9bd3a2c6e0aa"
)

// formCase is one submitted form. check reports whether the draft has the
// change; want is the fault of a form that is refused.
type formCase struct {
	name, of, item string
	// form lists key=value pairs, separated by spaces.
	form  string
	check func(*document.Document) bool
	want  string
}

func formCases() []formCase {
	version := "withdrawn=no micros_per_thousand_tokens=50 quality=0.6"
	account := "allowed_versions=small-1 allowed_services=ledger default_kind=gate max_in_flight=7"
	return []formCase{
		{name: "add a model", of: "models", form: "name=tiny first_version=tiny-1 " + version, check: func(d *document.Document) bool {
			return d.Models[2].Name == "tiny" && d.Models[2].Versions[0] == document.Version{ID: "tiny-1", MicrosPerThousandTokens: 50, Quality: 0.6}
		}},
		{name: "add a model without version", of: "models", form: "name=tiny " + version, want: `id="field-first_version-fault"><p>is empty; use 1 to 64 letters`},
		{name: "reorder versions", of: "models", item: "small", form: "versions=small-2 versions=small-1", check: func(d *document.Document) bool {
			return d.Models[0].Versions[0].ID == "small-2"
		}},
		{name: "name a version twice", of: "models", item: "small", form: "versions=small-2 versions=small-2", want: "the order does not name each version exactly once; choose each version once"},
		{name: "add a version", of: "versions", form: "id=large-2 model=large " + version, check: func(d *document.Document) bool { return d.Models[1].Versions[1].ID == "large-2" }},
		{name: "add a version with an ID in use", of: "versions", form: "id=large-1 model=large " + version, want: "is already used by version large-1, id; give each its own name"},
		{name: "add a version to an unknown model", of: "versions", form: "id=x model=y " + version, want: "names no model; choose a model"},
		{name: "withdraw a version", of: "versions", item: "small-1", form: "withdrawn=yes micros_per_thousand_tokens=100 quality=0.7", check: func(d *document.Document) bool { return d.Models[0].Versions[0].Withdrawn }},
		{name: "change a price", of: "versions", item: "small-1", form: "withdrawn=no micros_per_thousand_tokens=5000000000 quality=0.7", check: func(d *document.Document) bool {
			return d.Models[0].Versions[0].MicrosPerThousandTokens == 5_000_000_000
		}},
		{name: "negative price", of: "versions", item: "small-1", form: "withdrawn=no micros_per_thousand_tokens=-1 quality=0.7", want: "is negative; use 0 or more"},
		{name: "no state", of: "versions", item: "small-1", form: "micros_per_thousand_tokens=1 quality=0.7", want: "nothing is chosen; choose one of the two states"},
		{name: "quality with a comma", of: "versions", item: "small-1", form: "withdrawn=no micros_per_thousand_tokens=1 quality=0,7", want: `"0,7" is no decimal number; write it with a point`},
		{name: "add a cascade", of: "cascades", form: "name=fast steps=large steps= steps=small quality_target=0.5 when_withdrawn=refuse", check: func(d *document.Document) bool {
			c := d.Cascades[1]
			return c.Name == "fast" && strings.Join(c.Steps, " ") == "large small" && c.WhenWithdrawn == document.FallbackRefuse
		}},
		{name: "change a target", of: "cascades", item: "draft", form: "steps=small quality_target=0.9 when_withdrawn=refuse", check: func(d *document.Document) bool {
			return d.Cascades[0].QualityTarget == 0.9 && len(d.Cascades[0].Steps) == 1
		}},
		{name: "cascade without steps", of: "cascades", item: "draft", form: "quality_target=0.9 when_withdrawn=refuse", want: "is empty; list at least one model"},
		{name: "cascade without fallback", of: "cascades", item: "draft", form: "steps=small quality_target=0.9", want: `is ""; use refuse or reassign`},
		{name: "cascade with a bad name", of: "cascades", form: "name=a/b steps=small quality_target=0.9 when_withdrawn=refuse", want: "holds the character '/'; use 1 to 64 letters"},
		{name: "add a kind", of: "kinds", form: "name=slow first_token_ms=5000 total_ms=60000 priority=50 latency_weight=0", check: func(d *document.Document) bool {
			return d.Kinds[2] == document.Kind{Name: "slow", FirstTokenMillis: 5000, TotalMillis: 60000, Priority: 50}
		}},
		{name: "kind with a time that is no number", of: "kinds", item: "gate", form: "first_token_ms=soon total_ms=60000 priority=50 latency_weight=0", want: `"soon" is no whole number in range; write digits only`},
		{name: "kind with a first token time over its total time", of: "kinds", item: "gate", form: "first_token_ms=9 total_ms=8 priority=5 latency_weight=0", want: "is longer than total_ms; lower it or raise total_ms"},
		{name: "start a second open roll-out of a model", of: "rollouts", form: "id=r2 from=small-1 to=small-2 share_percent=5 stage=active", want: "already has the open roll-out small-2-trial; finish that one first"},
		{name: "change a share", of: "rollouts", item: "small-2-trial", form: "share_percent=60 stage=active", check: func(d *document.Document) bool { return d.Rollouts[0].SharePercent == 60 }},
		{name: "halt a roll-out", of: "rollouts", item: "small-2-trial", form: "share_percent=20 stage=halted", check: func(d *document.Document) bool {
			return d.Rollouts[0].Stage == document.RolloutHalted && d.Rollouts[0].From == "small-1"
		}},
		{name: "finish a roll-out", of: "rollouts", item: "small-2-trial", form: "share_percent=100 stage=done", check: func(d *document.Document) bool { return d.Rollouts[0].Stage == document.RolloutDone }},
		{name: "share out of range", of: "rollouts", item: "small-2-trial", form: "share_percent=101 stage=active", want: "is 101; use a number from 0 to 100"},
		{name: "change an account", of: "client_accounts", item: "technicians", form: account, check: func(d *document.Document) bool {
			a := d.ClientAccounts[0]
			return len(a.AllowedVersions) == 1 && len(a.KeyHashes) == 0 && a.DefaultKind == "gate" && a.MaxInFlight == 7
		}},
		{name: "add an account with a hash", of: "client_accounts", form: "name=planners add_hashes=" + testKeyHash + " " + account, check: func(d *document.Document) bool { return d.ClientAccounts[1].KeyHashes[0] == testKeyHash }},
		{name: "account with a bad hash", of: "client_accounts", form: "name=planners add_hashes=abc " + account, want: `"abc" is no hex SHA-256 hash in lower case; make one with medlarslip-config hash-key`},
		{name: "account with a short key", of: "client_accounts", form: "name=planners new_key=short " + account, want: "the key is shorter than 16 characters; enter a longer, random one"},
		{name: "account without kind", of: "client_accounts", form: "name=planners max_in_flight=1", want: `names no kind: ""; use the name of a kind in kinds`},
		{name: "account with an unknown version", of: "client_accounts", item: "technicians", form: "allowed_versions=x default_kind=gate max_in_flight=7", want: `names no version: "x"`},
		{name: "change a service", of: "plain_services", item: "ledger", form: "timeout_ms=900 non_idempotent=POST%20/bookings%0APUT%20/moves status_path=/b/{key}", check: func(d *document.Document) bool {
			s := d.PlainServices[0]
			return s.TimeoutMillis == 900 && s.NonIdempotent[1] == document.CallPattern{Method: "PUT", PathPrefix: "/moves"} && s.StatusPath == "/b/{key}"
		}},
		{name: "service with a bad call", of: "plain_services", item: "ledger", form: "timeout_ms=900 non_idempotent=POST status_path=", want: `"POST" is no method and path; write it like POST /bookings`},
		{name: "service with a bad path", of: "plain_services", item: "ledger", form: "timeout_ms=900 non_idempotent=POST%20bookings status_path=", want: "start it with /"},
		{name: "take a failure domain out", of: "failure_domains", item: "wdh-a", form: "out=yes", check: func(d *document.Document) bool { return d.FailureDomains[0].Out }},
		{name: "add a failure domain", of: "failure_domains", form: "name=wdh-c out=no", check: func(d *document.Document) bool { return d.FailureDomains[2].Name == "wdh-c" }},
		{name: "add a cold limit", of: "cold_limits", form: "target=ledger max_in_flight=2 warm_after_requests=9", check: func(d *document.Document) bool {
			return d.ColdLimits[2] == document.ColdLimit{Target: "ledger", MaxInFlight: 2, WarmAfterRequests: 9}
		}},
		{name: "cold limit for an unknown target", of: "cold_limits", form: "target=x max_in_flight=2 warm_after_requests=9", want: `names no model or service: "x"`},
	}
}

func TestForms(t *testing.T) {
	for _, tc := range formCases() {
		t.Run(tc.name, func(t *testing.T) {
			f := newTestFleet(t)
			b := f.signIn()
			form, err := url.ParseQuery(strings.ReplaceAll(tc.form, " ", "&"))
			must.NoError(t, err)
			form.Set(csrfField, b.csrf)
			form.Set("of", tc.of)
			form.Set("item", tc.item)
			got := f.send("POST", f.server.root+"/item", form.Encode(), b.withCookie)
			draft := f.server.sessions.get(b.cookie).draft
			if tc.want != "" {
				must.Eq(t, fasthttp.StatusUnprocessableEntity, got.status)
				mustContain(t, got.body, tc.want, "Not saved.")
				must.Nil(t, draft)
				return
			}
			must.Eq(t, f.server.root+"/section?of="+tc.of, got.location, must.Sprint(got.body))
			must.True(t, tc.check(draft.doc))
			must.SliceEmpty(t, document.Faults(draft.doc))
			mustContain(t, b.get("/section?of="+tc.of).body, "is saved in your draft")
		})
	}
}

func TestFaultsAreShownAtTheirFields(t *testing.T) {
	b := newTestFleet(t).signIn()
	got := b.post("/item", "of", "kinds", "item", "gate", "first_token_ms", "x", "total_ms", "8", "priority", "500", "latency_weight", "0")
	mustContain(t, got.body, `id="field-first_token_ms-fault"><p>"x" is no whole number`, `value="500"`)
	got = b.post("/item", "of", "kinds", "item", "gate", "first_token_ms", "5", "total_ms", "8", "priority", "500", "latency_weight", "0")
	mustContain(t, got.body, `id="field-priority-fault"><p>is 500; use a number from 0 to 100`)
}

func TestEnteredKeyIsHashedAndNotKept(t *testing.T) {
	f := newTestFleet(t)
	b := f.signIn()
	form := []string{"of", "client_accounts", "item", "", "name", "planners", "new_key", testKey, "default_kind", "gate", "max_in_flight", "many"}
	got := b.post("/item", form...)
	must.StrNotContains(t, got.raw, testKey)
	hash := document.HashKey(testKey)
	mustContain(t, got.body, hash, `"many" is no whole number`)
	form[len(form)-1] = "5"
	b.post("/item", form...)
	must.Eq(t, []string{hash}, f.server.sessions.get(b.cookie).draft.doc.ClientAccounts[1].KeyHashes)
	must.StrNotContains(t, b.get("/draft").raw+b.get("/section?of=client_accounts").raw, testKey)
}

func TestRemove(t *testing.T) {
	f := newTestFleet(t)
	b := f.signIn()
	mustContain(t, b.get("/remove?of=models&item=large").body, "Remove model large")
	got := b.post("/remove", "of", "models", "item", "large")
	must.Eq(t, fasthttp.StatusUnprocessableEntity, got.status)
	mustContain(t, got.body, `cascade draft, steps: names no model: "large"; use the name of a model in models`, `client account technicians, allowed versions: names no version: "large-1"`)
	must.Eq(t, fasthttp.StatusSeeOther, b.post("/remove", "of", "cold_limits", "item", "large").status)
	must.Eq(t, 1, len(f.server.sessions.get(b.cookie).draft.doc.ColdLimits))
	must.Eq(t, fasthttp.StatusNotFound, b.get("/remove?of=cold_limits&item=large").status)
	must.Eq(t, fasthttp.StatusSeeOther, b.post("/remove", "of", "rollouts", "item", "small-2-trial").status)
	mustContain(t, b.get("/draft").body, "Cold limit large is removed.", "Roll-out small-2-trial is removed.")
}

func TestSwitchPages(t *testing.T) {
	f := newTestFleet(t)
	b := f.signIn()
	mustContain(t, b.get("/domains").body, "wdh-a", "1 live backend server")
	b.takeOut("wdh-a")
	mustContain(t, b.get("/draft").body, "Failure domain wdh-a is taken out")
	got := b.post("/domains", "state-wdh-a", "no", "state-wdh-b", "no")
	must.Eq(t, fasthttp.StatusUnprocessableEntity, got.status)
	mustContain(t, got.body, "failure domains: all are out; leave at least one in service")
	b.post("/withdrawals", "state-small-1", "no")
	mustContain(t, b.get("/draft").body, "Version small-1 is withdrawn")
	b.post("/withdrawals")
	mustContain(t, b.get("/draft").body, "Version small-1 is withdrawn")
	b.post("/withdrawals", "state-small-1", "yes")
	b.post("/halts", "state-small-2-trial", "no")
	mustContain(t, b.get("/draft").body, "Roll-out small-2-trial is halted")
	b.post("/halts", "state-small-2-trial", "yes")
	b.post("/domains", "state-wdh-a", "yes")
	mustContain(t, b.get("/draft").body, "You have changed nothing")
}

func TestFaultInAnotherItemPreventsSaving(t *testing.T) {
	f := newTestFleet(t)
	b := f.signIn()
	b.takeOut("wdh-b")
	got := b.post("/item", "of", "failure_domains", "item", "wdh-a", "out", "yes")
	must.Eq(t, fasthttp.StatusUnprocessableEntity, got.status)
	mustContain(t, got.body, "Not saved.", "failure domains: all are out")
	must.False(t, f.server.sessions.get(b.cookie).draft.doc.FailureDomains[0].Out)
}

func TestSecretIsRemovedFromTheForm(t *testing.T) {
	v := newFormValues(url.Values{"new_key": {testKey}})
	must.Eq(t, document.HashKey(testKey), v.takeSecretHash("new_key"))
	must.MapEmpty(t, v.form)
}

// TestFirstDocumentByForms creates a whole document with forms in a fleet that
// has none. Before the stream was read, the console can't tell whether there is
// a document and refuses the form.
func TestFirstDocumentByForms(t *testing.T) {
	f := newEmptyFleet(t)
	b := f.signIn()
	got := b.post("/item", "of", "failure_domains", "item", "", "name", "pd-1", "out", "no")
	must.Eq(t, fasthttp.StatusServiceUnavailable, got.status)
	mustContain(t, got.body, "The document in force is not known yet")
	f.refresh()
	for _, form := range [][]string{
		{"failure_domains", "name", "pd-1", "out", "no"},
		{"models", "name", "small", "first_version", "small-1", "micros_per_thousand_tokens", "10", "quality", "0.7"},
		{"cascades", "name", "route", "steps", "small", "quality_target", "0.6", "when_withdrawn", "reassign"},
		{"kinds", "name", "gate", "first_token_ms", "900", "total_ms", "9000", "priority", "1", "latency_weight", "1"},
		{"plain_services", "name", "dispatch", "timeout_ms", "900", "non_idempotent", "POST /confirm", "status_path", "/confirm/{key}"},
		{"client_accounts", "name", "planners", "new_key", testKey, "allowed_versions", "small-1", "allowed_services", "dispatch", "default_kind", "gate", "max_in_flight", "9"},
		{"cold_limits", "target", "small", "max_in_flight", "1", "warm_after_requests", "5"},
		{"versions", "id", "small-2", "model", "small", "withdrawn", "no", "micros_per_thousand_tokens", "10", "quality", "0.7"},
		{"rollouts", "id", "r1", "from", "small-1", "to", "small-2", "share_percent", "5", "stage", "active"},
	} {
		got := b.post("/item", append([]string{"of", form[0], "item", ""}, form[1:]...)...)
		must.Eq(t, fasthttp.StatusSeeOther, got.status, must.Sprintf("%v: %s", form, got.body))
	}
	must.Eq(t, f.server.root+"/published", b.publish("first document").location)
	current := f.inForce()
	must.Eq(t, 1, current.Envelope.Number)
	must.Eq(t, "small", current.Index.RolloutOf("small").Model)
}

func TestEveryPageIsShown(t *testing.T) {
	f := newTestFleet(t)
	b := f.signIn()
	for _, s := range sections() {
		list := b.get("/section?of=" + string(s.ID))
		must.Eq(t, fasthttp.StatusOK, list.status)
		mustContain(t, list.body, "<h1>"+s.Title+"</h1>")
		for _, item := range append(itemNames(f.server.sessionDocument(f.server.sessions.get(b.cookie)), s.ID), "") {
			page := b.get("/item?of=" + string(s.ID) + "&item=" + item)
			must.Eq(t, fasthttp.StatusOK, page.status)
			mustContain(t, page.body, "Save in the draft")
		}
	}
}

func TestNewItemFormsPreselectNothing(t *testing.T) {
	b := newTestFleet(t).signIn()
	got := b.get("/item?of=cascades").body
	mustContain(t, got, `name="quality_target" type="text" value=""`)
	got = b.get("/item?of=rollouts").body
	mustContain(t, got, `<option value="" selected>choose one</option><option value="small-1">`)
}

func FuzzForm(f *testing.F) {
	for _, tc := range formCases() {
		f.Add(tc.of, tc.item, strings.ReplaceAll(tc.form, " ", "&"))
	}
	base := &document.Document{Schema: document.SchemaVersion, FailureDomains: []document.FailureDomain{{Name: "a"}}}
	base.Models = []document.Model{{Name: "m", Versions: []document.Version{{ID: "m-1"}}}}
	base.Kinds = []document.Kind{{Name: "gate", FirstTokenMillis: 1, TotalMillis: 2}}
	base.PlainServices = []document.PlainService{{Name: "ledger", TimeoutMillis: 1}}
	f.Fuzz(func(t *testing.T, of, item, body string) {
		form, err := decodeForm([]byte(body))
		s := findSection(of)
		if err != nil || s == nil {
			return
		}
		d := &draft{doc: document.Clone(base)}
		before := document.Clone(d.doc)
		if !d.submit(s, item, form).ok {
			must.Eq(t, before, d.doc)
			return
		}
		// A saved draft is valid and is the same after encoding and parsing.
		again, err := document.Parse([]byte(d.text()))
		must.NoError(t, err)
		must.Eq(t, d.doc, document.Clone(again))
	})
}
