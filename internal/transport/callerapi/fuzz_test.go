package callerapi

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"medlarslip/internal/coordination/configuration"
	"medlarslip/internal/protocol/document"
	"medlarslip/internal/protocol/openai"
	"medlarslip/internal/protocol/refusal"
)

func fuzzCaller() *caller {
	doc := &document.Document{
		Kinds:          []document.Kind{{Name: "report"}},
		ClientAccounts: []document.ClientAccount{{Name: "technicians", DefaultKind: "report", AllowedServices: []string{"ledger"}}},
		PlainServices:  []document.PlainService{{Name: "ledger"}},
	}
	index := document.NewIndex(doc)
	return &caller{config: &configuration.InForce{Index: index}, account: index.Account("technicians")}
}

// FuzzChatBody checks that a body is either decoded into a call with a model and
// messages, or refused with the outcome that nothing ran.
func FuzzChatBody(f *testing.F) {
	f.Add([]byte(`{"model":"draft","messages":[{"role":"user","content":"hello"}],"stream":true}`))
	f.Add([]byte(`{"model":"draft","messages":[{"role":"user","content":[{"type":"text","text":"x"}]}]}`))
	f.Add([]byte(`[]`))
	f.Add([]byte(`{"model":{}}`))
	c := fuzzCaller()
	f.Fuzz(func(t *testing.T, body []byte) {
		ctx := &fasthttp.RequestCtx{}
		ctx.Request.SetBody(body)
		call, refused := decodeChat(ctx, c, "r1")
		if refused != nil {
			must.Eq(t, refusal.NotRun, refused.Outcome)
			return
		}
		must.NotEq(t, "", call.Request.Model)
		must.Positive(t, len(call.Request.Messages))
		must.NotNil(t, call.Body["messages"])
	})
}

// A valid request with too many fields must be refused before they are decoded.
func TestTooManyFieldsAreRefused(t *testing.T) {
	for _, fields := range []int{openai.MaxFields, openai.MaxFields + 1} {
		ctx := &fasthttp.RequestCtx{}
		ctx.Request.SetBodyString(`{"model":"draft",` + strings.Repeat(`"x":0,`, fields-2) + `"messages":[{"role":"user"}]}`)
		_, refused := decodeChat(ctx, fuzzCaller(), "r1")
		must.Eq(t, fields > openai.MaxFields, refused != nil)
		must.True(t, refused == nil || (refused.Kind == refusal.KindBadRequest && refused.Outcome == refusal.NotRun))
	}
}

// FuzzServicePath checks that a call of a plain service is forwarded only if its
// path is in the normalized form that the patterns are matched against.
func FuzzServicePath(f *testing.F) {
	f.Add("/v1/services/ledger/bookings?x=1")
	f.Add("/v1/services/ledger/%62ookings")
	f.Add("/v1/services/ledger/../ledger//bookings")
	f.Add("/v1/services/ledger/a;b/c")
	c := fuzzCaller()
	f.Fuzz(func(t *testing.T, uri string) {
		ctx := &fasthttp.RequestCtx{}
		ctx.Request.Header.SetRequestURI(uri)
		ctx.Request.Header.SetHost("x")
		path := string(ctx.Path())
		if len(path) < len(ServicePathPrefix) || path[:len(ServicePathPrefix)] != ServicePathPrefix {
			return
		}
		call, refused := decodeService(ctx, c, "r1", path[len(ServicePathPrefix):])
		if refused != nil {
			must.Eq(t, refusal.NotRun, refused.Outcome)
			return
		}
		must.Eq(t, string(ctx.URI().PathOriginal()), ServicePathPrefix+"ledger"+call.Path)
	})
}
