package gateway

import (
	"testing"

	"github.com/shoenig/test/must"

	"medlarslip/internal/protocol/routes"
)

// TestCacheFactor guards against a comparison of versions that attributes more to the prompt
// cache than the shared part of the prompt explains.
func TestCacheFactor(t *testing.T) {
	shared := []PromptPart{{ID: "a", Tokens: 750}, {ID: "b", Tokens: 250}}
	for _, c := range []struct {
		name   string
		kind   routes.Kind
		prompt []PromptPart
		tokens int
		want   float64
	}{
		{"three quarters shared", routes.Stream, shared, 1000, 4},
		{"no stream", routes.Idempotent, shared, 1000, 1},
		{"nothing shared", routes.Stream, shared[:1], 750, 1},
		{"length unknown", routes.Stream, shared, 0, 1},
		{"all but nothing shared", routes.Stream, []PromptPart{{ID: "a", Tokens: 1000}, {ID: "b"}}, 1000, 1 / minOwnShare},
	} {
		r := &request{route: &routes.Route{Kind: c.kind}, call: Call{Prompt: c.prompt, PromptTokens: c.tokens}}
		must.Eq(t, c.want, r.cacheFactor(), must.Sprint(c.name))
	}
}
