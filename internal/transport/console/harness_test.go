package console

import (
	"context"
	"crypto/ed25519"
	"errors"
	"html"
	"net/url"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"medlarslip/internal/coordination/configuration"
	"medlarslip/internal/protocol/document"
	"medlarslip/internal/protocol/platform"
	"medlarslip/internal/protocol/settings"
	"medlarslip/internal/protocol/signed"
	"medlarslip/internal/standin/logservice"
	"medlarslip/internal/transport/adminapi"
)

const testListen = "127.0.0.1:8401"

var errUnreachable = errors.New("unreachable")

// testFleet has a console with a simulated log service. It implements
// InstanceList and StatusReader in place of the platform and the instances.
type testFleet struct {
	t        *testing.T
	log      *logservice.Service
	keys     signed.OperatorKeys
	private  map[string]ed25519.PrivateKey
	now      time.Time
	list     platform.InstanceList
	listDown bool
	// statuses are the statuses of the instances by address; an address without
	// one is unreachable.
	statuses map[string]adminapi.Status
	links    []string
	server   *Server
}

func (f *testFleet) Instances(context.Context) (*platform.InstanceList, error) {
	if f.listDown {
		return nil, errUnreachable
	}
	return &f.list, nil
}

func (f *testFleet) Status(_ context.Context, address string) (*adminapi.Status, error) {
	status, ok := f.statuses[address]
	if !ok {
		return nil, errUnreachable
	}
	return &status, nil
}

func (f *testFleet) Metrics(_ context.Context, address string) ([]Metric, error) {
	if _, ok := f.statuses[address]; !ok {
		return nil, errUnreachable
	}
	return []Metric{{Name: "caller_refusals", Value: `{"not_allowed": 3}`}}, nil
}

// newTestFleet returns a fleet in which document 1, published by ben, is in
// force.
func newTestFleet(t *testing.T) *testFleet {
	t.Helper()
	f := newEmptyFleet(t)
	text, err := os.ReadFile("../../../examples/demo/document.yaml")
	must.NoError(t, err)
	doc, err := document.Parse(text)
	must.NoError(t, err)
	_, err = f.publisher("ben").Publish(t.Context(), nil, doc, "first configuration")
	must.NoError(t, err)
	f.refresh()
	return f
}

func newEmptyFleet(t *testing.T) *testFleet {
	t.Helper()
	f := &testFleet{
		t: t, log: logservice.New(0), keys: signed.OperatorKeys{}, private: map[string]ed25519.PrivateKey{},
		now: time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC), statuses: map[string]adminapi.Status{},
	}
	for i, name := range []string{"anna", "ben"} {
		seed := make([]byte, ed25519.SeedSize)
		seed[0] = byte(i)
		f.private[name] = ed25519.NewKeyFromSeed(seed)
		f.keys[name] = f.private[name].Public().(ed25519.PublicKey)
	}
	f.list.Instances = []platform.Instance{
		{ID: "entry-a1", Address: "10.0.0.1:8100", Role: platform.RoleEntry, FailureDomain: "wdh-a", State: platform.InstanceLive},
		{ID: "entry-b1", Address: "10.0.0.2:8100", Role: platform.RoleEntry, FailureDomain: "wdh-b", State: platform.InstanceLive},
		{ID: "engine-1", Role: platform.RoleEngine, FailureDomain: "wdh-a", State: platform.InstanceLive, Serves: []string{"small-1"}},
	}
	f.server = New(Options{
		Log: f.log, Instances: f, Status: f, Keys: f.keys, Operator: "anna", Key: f.private["anna"],
		Listen: testListen, HostNames: []string{"console.example"}, Now: func() time.Time { return f.now },
		Fleet:    settings.ConsoleFleet{MetricsPort: 8300, MetricsAddresses: []settings.MetricsAddress{{Instance: "entry-b1", Address: "10.0.0.2:9999"}}},
		Announce: func(url string) { f.links = append(f.links, url) },
	})
	return f
}

func (f *testFleet) publisher(operator string) *configuration.Publisher {
	return &configuration.Publisher{Log: f.log, Keys: f.keys, Operator: operator, Key: f.private[operator], Now: func() time.Time { return f.now }}
}

// publishAs publishes a change to the document in force without the console.
func (f *testFleet) publishAs(operator, reason string, change func(*document.Document)) {
	f.t.Helper()
	publisher := f.publisher(operator)
	base, err := publisher.Load(f.t.Context())
	must.NoError(f.t, err)
	doc := document.Clone(base.Index.Document())
	change(doc)
	_, err = publisher.Publish(f.t.Context(), base, doc, reason)
	must.NoError(f.t, err)
}

func (f *testFleet) refresh() {
	f.t.Helper()
	must.NoError(f.t, f.server.Refresh(f.t.Context()))
}

func (f *testFleet) inForce() *configuration.InForce {
	f.t.Helper()
	current, err := f.publisher("anna").Load(f.t.Context())
	must.NoError(f.t, err)
	return current
}

// answer is a response of the console.
type answer struct {
	status   int
	location string
	refresh  string
	header   *fasthttp.ResponseHeader
	// raw is the page as it was sent, body the same with entities decoded.
	body, raw string
}

// send calls the handler with one request, which prepare may change.
func (f *testFleet) send(method, uri, body string, prepare func(*fasthttp.Request)) answer {
	req := &fasthttp.Request{}
	req.Header.SetMethod(method)
	req.SetRequestURI(uri)
	req.Header.SetHost(testListen)
	if method == fasthttp.MethodPost {
		req.Header.Set("Origin", "http://"+testListen)
		req.Header.SetContentType("application/x-www-form-urlencoded")
		req.SetBodyString(body)
	}
	if prepare != nil {
		prepare(req)
	}
	ctx := &fasthttp.RequestCtx{}
	ctx.Init(req, nil, nil)
	f.server.Handle(ctx)
	h := &ctx.Response.Header
	return answer{
		status: ctx.Response.StatusCode(), location: string(h.Peek("Location")), refresh: string(h.Peek("Refresh")),
		header: h, raw: string(ctx.Response.Body()), body: html.UnescapeString(string(ctx.Response.Body())),
	}
}

// testBrowser is a signed-in browser.
type testBrowser struct {
	*testFleet
	cookie string
	csrf   string
}

func (f *testFleet) signIn() *testBrowser {
	f.t.Helper()
	link, err := url.Parse(f.server.LoginURL())
	must.NoError(f.t, err)
	got := f.send("GET", link.RequestURI(), "", nil)
	must.Eq(f.t, fasthttp.StatusSeeOther, got.status)
	must.Eq(f.t, f.server.root+"/", got.location)
	cookie := &fasthttp.Cookie{}
	must.NoError(f.t, cookie.ParseBytes(got.header.PeekCookie(cookieName)))
	must.True(f.t, cookie.HTTPOnly())
	must.Eq(f.t, fasthttp.CookieSameSiteStrictMode, cookie.SameSite())
	must.Eq(f.t, f.server.root, string(cookie.Path()))
	b := &testBrowser{testFleet: f, cookie: string(cookie.Value())}
	b.csrf = regexp.MustCompile(`name="csrf" value="([^"]+)"`).FindStringSubmatch(b.get("/").body)[1]
	return b
}

func (b *testBrowser) get(page string) answer {
	return b.send("GET", b.server.root+page, "", b.withCookie)
}

func (b *testBrowser) withCookie(req *fasthttp.Request) { req.Header.SetCookie(cookieName, b.cookie) }

// post sends a form with the CSRF token; pairs alternates keys and values.
func (b *testBrowser) post(page string, pairs ...string) answer {
	form := url.Values{csrfField: {b.csrf}}
	for i := 0; i < len(pairs); i += 2 {
		form.Add(pairs[i], pairs[i+1])
	}
	return b.send("POST", b.server.root+page, form.Encode(), b.withCookie)
}

// publish signs and publishes the draft as the review page shows it.
func (b *testBrowser) publish(reason string) answer {
	b.t.Helper()
	shown := regexp.MustCompile(`name="seal" value="([^"]+)"`).FindStringSubmatch(b.get("/draft").body)
	must.SliceNotEmpty(b.t, shown, must.Sprint("the draft can't be signed"))
	return b.post("/draft/publish", "seal", shown[1], "reason", reason, "warnings_read", "yes")
}

// takeOut takes a failure domain out in the draft and the other one back.
func (b *testBrowser) takeOut(domain string) {
	b.t.Helper()
	pairs := []string{"state-wdh-a", "yes", "state-wdh-b", "yes", "state-" + domain, "no"}
	form := url.Values{csrfField: {b.csrf}}
	for i := 0; i < len(pairs); i += 2 {
		form.Set(pairs[i], pairs[i+1])
	}
	got := b.send("POST", b.server.root+"/domains", form.Encode(), b.withCookie)
	must.Eq(b.t, b.server.root+"/draft", got.location)
}

func mustContain(t *testing.T, text string, parts ...string) {
	t.Helper()
	for _, part := range parts {
		must.StrContains(t, strings.Join(strings.Fields(text), " "), part)
	}
}
