package routes_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"medlarslip/internal/protocol/routes"
)

func table() *routes.Table {
	return &routes.Table{
		Version: 3,
		Routes: []routes.Route{
			{Name: "root", Host: "h.example", PathPrefix: "/"},
			{Name: "a", Host: "h.example", PathPrefix: "/a/"},
			{Name: "abc", Host: "h.example", PathPrefix: "/a/b/c/"},
			{Name: "other", Host: "Other.example", PathPrefix: "/a/"},
			{Name: "public", Host: "other.example", PathPrefix: "/p/", Public: true},
		},
		Services: []routes.Service{{Name: "s"}},
		Accounts: []routes.Account{{Name: "x", Keys: []string{"k1", "k2"}}},
	}
}

func TestMatchTakesTheLongestPrefix(t *testing.T) {
	index := routes.Compile(table())
	cases := []struct{ host, path, want string }{
		{"h.example", "/", "root"},
		{"h.example", "/a", "root"},
		{"h.example", "/a/", "a"},
		{"h.example", "/a/b/x", "a"},
		{"h.example", "/a/b/c/d/e/f/g", "abc"},
		{"H.EXAMPLE", "/a/b/c/", "abc"},
		{"other.example", "/a/b", "other"},
		{"other.example", "/", ""},
		{"nowhere.example", "/a/", ""},
		{"h.example", "", ""},
	}
	for _, c := range cases {
		name := ""
		if route := index.Match(c.host, c.path); route != nil {
			name = route.Name
		}
		must.Eq(t, c.want, name, must.Sprint(c.host, c.path))
	}
}

func TestKeys(t *testing.T) {
	index := routes.Compile(table())
	must.Eq(t, "x", index.Account("k2").Name)
	must.Nil(t, index.Account("k3"))
	must.Nil(t, index.Account(""))
	must.True(t, index.NeedsKey(index.Match("other.example", "/a/")))
	must.False(t, index.NeedsKey(index.Match("other.example", "/p/")))
	must.NotNil(t, index.Service("s"))
	must.Nil(t, index.Service("t"))
}

func BenchmarkMatchAmongThousandRoutes(b *testing.B) {
	big := table()
	for i := range 1000 {
		big.Routes = append(big.Routes, routes.Route{Host: "h.example", PathPrefix: fmt.Sprintf("/r%d/", i)})
	}
	index := routes.Compile(big)
	b.ReportAllocs()
	for b.Loop() {
		index.Match("h.example", "/r500/x/y")
	}
}
