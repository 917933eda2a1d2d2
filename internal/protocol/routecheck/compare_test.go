package routecheck_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/protocol/routecheck"
	"medlarslip/internal/protocol/routes"
)

func table(change func(*routes.Table)) *routes.Table {
	table := &routes.Table{
		Routes: []routes.Route{
			{Name: "all", Host: "h", PathPrefix: "/", Kind: routes.NonIdempotent, Targets: []routes.Target{{Service: "a", Weight: 1}}, Timeout: 3 * time.Second, MaxAttempts: 1, Priority: 2, Public: true},
			{Name: "sub", Host: "h", PathPrefix: "/sub/", Targets: []routes.Target{{Service: "a", Weight: 3}, {Service: "b", Weight: 1}}, MaxAttempts: 2, Models: []string{"s", "m"}},
			{Name: "other", Host: "other", PathPrefix: "/"},
		},
		Services: []routes.Service{{Name: "a"}, {Name: "b"}},
		Accounts: []routes.Account{{Name: "x", Keys: []string{"secret-1", "secret-2"}}, {Name: "y", Keys: []string{"secret-3"}}},
		Limits:   routes.Limits{BodyBytes: 1000},
	}
	change(table)
	return table
}

// TestCompareNamesEffectsOnTraffic guards against changes that are missed or described
// wrongly, and against API keys in the output. "!" marks what is taken away.
func TestCompareNamesEffectsOnTraffic(t *testing.T) {
	priority := 3
	cases := []struct {
		name   string
		change func(*routes.Table)
		want   []string
	}{
		{"nothing", func(*routes.Table) {}, nil},
		{"another order", func(t *routes.Table) { t.Routes[0], t.Routes[2] = t.Routes[2], t.Routes[0] }, nil},
		{"a host in another case", func(t *routes.Table) { t.Routes[2].Host = "OTHER" }, nil},
		{"a removed route", func(t *routes.Table) { t.Routes = t.Routes[:2] }, []string{"!requests for other/ get 404"}},
		{"a removed route below another", func(t *routes.Table) { t.Routes[1] = t.Routes[2] }, []string{
			`!requests for h/sub/ have no route of their own any more: route "all" for h/ serves them`, "!requests for h/sub/: the timeout is now 3s; there was none",
			"!requests for h/sub/ are now non_idempotent and run at most once; they were idempotent", "!requests for h/sub/: the number of attempts changes from 2 to 1",
			"!requests for h/sub/: their priority falls from 0 to 2 (0 is the highest)", "!requests for h/sub/: the models change from [s m] to []",
			"25% of the requests for h/sub/ move from service b to service a", "requests for h/sub/ need no API key any more",
		}},
		{"added routes, and a loss first", func(t *routes.Table) {
			narrow := t.Routes[0]
			narrow.Name, narrow.PathPrefix, narrow.Public, narrow.Timeout = "n", "/n/", false, time.Second
			t.Routes = append(t.Routes, narrow, routes.Route{Name: "new", Host: "new", PathPrefix: "/"})
			t.Limits.BodyBytes = 10
		}, []string{
			"!requests for h/n/: the timeout becomes shorter, from 3s to 1s", "!requests for h/n/ without an API key get 401",
			"!requests with bodies over 10 bytes are refused; the limit was 1000 (0 is no limit)",
			`requests for h/n/ are served by route "n" instead of route "all" for h/`, `requests for new/ are served by route "new"; they got 404`,
		}},
		{"traffic that moves", func(t *routes.Table) { t.Routes[1].Targets[1] = routes.Target{Service: "c", Weight: 2} }, []string{
			"15% of the requests for h/sub/ move from service a to service c", "25% of the requests for h/sub/ move from service b to service c",
		}},
		{"a shorter timeout", func(t *routes.Table) { t.Routes[0].Timeout = time.Second }, []string{"!requests for h/: the timeout becomes shorter, from 3s to 1s"}},
		{"no timeout", func(t *routes.Table) { t.Routes[0].Timeout = 0 }, []string{"requests for h/: the timeout of 3s ends; there is none"}},
		{"a new timeout", func(t *routes.Table) { t.Routes[1].Timeout = time.Second }, []string{"!requests for h/sub/: the timeout is now 1s; there was none"}},
		{"a kind", func(t *routes.Table) { t.Routes[0].Kind = routes.Idempotent }, []string{"!requests for h/ are now idempotent and may run more than once; they were non_idempotent"}},
		{"attempts and priority", func(t *routes.Table) { t.Routes[1].MaxAttempts, t.Routes[1].Priority = 3, 1 }, []string{
			"!requests for h/sub/: their priority falls from 0 to 1 (0 is the highest)", "requests for h/sub/: the number of attempts changes from 2 to 3",
		}},
		{"a route that needs a key", func(t *routes.Table) { t.Routes[0].Public = false }, []string{"!requests for h/ without an API key get 401"}},
		{"a second account of the same name", func(t *routes.Table) { t.Accounts = append(t.Accounts, routes.Account{Name: "y", Priority: &priority}) }, nil},
		{"no keys needed", func(t *routes.Table) { t.Accounts = nil }, []string{"no request needs an API key any more"}},
		{"a model less", func(t *routes.Table) { t.Routes[1].Models = []string{"s"} }, []string{"!requests for h/sub/: the models change from [s m] to [s]"}},
		{"keys", func(t *routes.Table) {
			t.Accounts[0].Keys, t.Accounts[1].Keys = []string{"secret-3", "secret-4"}, []string{"secret-1"}
		}, []string{
			"!key 2 of account x stops working: its requests get 401", "key 1 of account x belongs to account y", "key 1 of account y belongs to account x", "keys that start to work for account x: 1",
		}},
		{"priority of an account", func(t *routes.Table) { t.Accounts[1].Priority = &priority }, []string{"!the priority of account y changes from that of the route to 3 (0 is the highest)"}},
		{"cold servers", func(t *routes.Table) { t.Services[0].ColdPerSecond, t.Services[0].ColdTime = 4, time.Second }, []string{
			"servers of service a that have just started get at most 4 requests per second for 1s; so far 0 for 0s (0 is no limit)",
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var got []string
			for _, change := range routecheck.Compare(table(func(*routes.Table) {}), table(tc.change)) {
				mark := map[bool]string{true: "!"}[change.Removes]
				got = append(got, mark+change.Text)
				must.StrNotContains(t, change.Text, "secret")
			}
			must.Eq(t, tc.want, got)
		})
	}
}
