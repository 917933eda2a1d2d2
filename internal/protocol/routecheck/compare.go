package routecheck

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"medlarslip/internal/protocol/routes"
)

// Change is one difference from the table in force, with its effect on traffic.
type Change struct {
	// Removes is set if the change takes something away from clients.
	Removes bool   `json:"removes"`
	Text    string `json:"text"`
}

// SortChanges sorts changes: those that take something away come first.
func SortChanges(changes []Change) {
	slices.SortStableFunc(changes, func(a, b Change) int {
		switch {
		case a.Removes == b.Removes:
			return 0
		case a.Removes:
			return -1
		default:
			return 1
		}
	})
}

// comparer describes the differences between two tables.
type comparer struct {
	before, after      *routes.Table
	oldIndex, newIndex *routes.Index
	changes            []Change
}

// Compare describes what differs for traffic when a table replaces another one. Changes that
// take something away come first. API keys are named by account and position.
func Compare(before, after *routes.Table) []Change {
	c := &comparer{before: before, after: after, changes: []Change{}, oldIndex: routes.Compile(before), newIndex: routes.Compile(after)}
	for i := range before.Routes {
		if route := &before.Routes[i]; c.oldIndex.Match(route.Host, route.PathPrefix) == route {
			c.compareRoute(route)
		}
	}
	for i := range after.Routes {
		if route := &after.Routes[i]; c.newIndex.Match(route.Host, route.PathPrefix) == route {
			c.addedRoute(route)
		}
	}
	c.compareKeys()
	c.compareServices()
	c.compareLimits()
	SortChanges(c.changes)
	return c.changes
}

func (c *comparer) add(removes bool, text string, args ...any) {
	c.changes = append(c.changes, Change{Removes: removes, Text: fmt.Sprintf(text, args...)})
}

func requestsOf(route *routes.Route) string { return "requests for " + route.Host + route.PathPrefix }

func (c *comparer) compareRoute(old *routes.Route) {
	route := c.newIndex.Match(old.Host, old.PathPrefix)
	requests := requestsOf(old)
	switch {
	case route == nil:
		c.add(true, "%s get 404", requests)
		return
	case old.PathPrefix != route.PathPrefix:
		c.add(true, "%s have no route of their own any more: route %q for %s%s serves them", requests, route.Name, route.Host, route.PathPrefix)
	}
	c.compareProperties(requests, old, route)
}

// compareProperties describes what changes for requests that another route serves.
func (c *comparer) compareProperties(requests string, old, route *routes.Route) {
	c.compareTargets(requests, old, route)
	c.compareTimes(requests, old, route)
	c.compareRights(requests, old, route)
	c.compareModels(requests, old, route)
}

func (c *comparer) addedRoute(route *routes.Route) {
	old := c.oldIndex.Match(route.Host, route.PathPrefix)
	switch {
	case old == nil:
		c.add(false, "%s are served by route %q; they got 404", requestsOf(route), route.Name)
	case old.PathPrefix != route.PathPrefix:
		c.add(false, "%s are served by route %q instead of route %q for %s%s", requestsOf(route), route.Name, old.Name, old.Host, old.PathPrefix)
		c.compareProperties(requestsOf(route), old, route)
	}
}

// share is the share of a route's traffic that one service gains or loses, in percent.
type share struct {
	service string
	percent float64
}

// shares returns the percentage of a route's traffic by service.
func shares(route *routes.Route) map[string]float64 {
	total, percent := 0.0, map[string]float64{}
	for _, target := range route.Targets {
		total += float64(target.Weight)
	}
	for _, target := range route.Targets {
		percent[target.Service] += 100 * float64(target.Weight) / total
	}
	return percent
}

// minMove is the smallest change of a share, in percent, that is described.
const minMove = 0.01

func (c *comparer) compareTargets(requests string, old, route *routes.Route) {
	before, after := shares(old), shares(route)
	var losses, gains []share
	for _, service := range sortedKeys(before) {
		if lost := before[service] - after[service]; lost > minMove {
			losses = append(losses, share{service, lost})
		}
	}
	for _, service := range sortedKeys(after) {
		if gained := after[service] - before[service]; gained > minMove {
			gains = append(gains, share{service, gained})
		}
	}
	for len(losses) > 0 && len(gains) > 0 {
		moved := min(losses[0].percent, gains[0].percent)
		c.add(false, "%.4g%% of the %s move from service %s to service %s", moved, requests, losses[0].service, gains[0].service)
		if losses[0].percent -= moved; losses[0].percent <= minMove {
			losses = losses[1:]
		}
		if gains[0].percent -= moved; gains[0].percent <= minMove {
			gains = gains[1:]
		}
	}
}

// compareTime describes a changed time limit; 0 means none.
func (c *comparer) compareTime(subject, name string, before, after time.Duration) {
	switch {
	case before == after:
	case before == 0:
		c.add(true, "%s: the %s is now %v; there was none", subject, name, after)
	case after == 0:
		c.add(false, "%s: the %s of %v ends; there is none", subject, name, before)
	case after < before:
		c.add(true, "%s: the %s becomes shorter, from %v to %v", subject, name, before, after)
	default:
		c.add(false, "%s: the %s becomes longer, from %v to %v", subject, name, before, after)
	}
}

func (c *comparer) compareTimes(requests string, old, route *routes.Route) {
	c.compareTime(requests, "timeout", old.Timeout, route.Timeout)
	// Objectives limit nothing: requests over them are answered.
	if old.Objective != route.Objective {
		c.add(false, "%s: the latency objective changes from %v to %v (0 is none)", requests, old.Objective, route.Objective)
	}
	if old.GapObjective != route.GapObjective {
		c.add(false, "%s: the objective for pauses between events changes from %v to %v (0 is none)", requests, old.GapObjective, route.GapObjective)
	}
}

// compareRights describes changes of what a request may do and of what it needs.
func (c *comparer) compareRights(requests string, old, route *routes.Route) {
	if old.Kind != route.Kind || old.Resumable != route.Resumable {
		mayRun := map[bool]string{true: "may run more than once", false: "run at most once"}
		c.add(old.Repeatable() != route.Repeatable(), "%s are now %v and %s; they were %v", requests, route.Kind, mayRun[route.Repeatable()], old.Kind)
	}
	if old.MaxAttempts != route.MaxAttempts {
		c.add(route.MaxAttempts < old.MaxAttempts, "%s: the number of attempts changes from %d to %d", requests, old.MaxAttempts, route.MaxAttempts)
	}
	switch {
	case route.Priority > old.Priority:
		c.add(true, "%s: their priority falls from %d to %d (0 is the highest)", requests, old.Priority, route.Priority)
	case route.Priority < old.Priority:
		c.add(false, "%s: their priority rises from %d to %d (0 is the highest)", requests, old.Priority, route.Priority)
	}
	before, after := c.oldIndex.NeedsKey(old), c.newIndex.NeedsKey(route)
	// A change for all routes is described once, with the keys.
	if before != after && old.Public != route.Public {
		c.add(after, "%s %s", requests, map[bool]string{true: "without an API key get 401", false: "need no API key any more"}[after])
	}
}

func (c *comparer) compareModels(requests string, old, route *routes.Route) {
	if !slices.Equal(old.Models, route.Models) {
		lost := slices.ContainsFunc(old.Models, func(m string) bool { return !slices.Contains(route.Models, m) })
		c.add(lost, "%s: the models change from %v to %v", requests, old.Models, route.Models)
	}
}

func (c *comparer) compareKeys() {
	if (c.before.Accounts == nil) != (c.after.Accounts == nil) {
		if c.before.Accounts == nil {
			c.add(true, "requests without an API key get 401, except on public routes; no key was needed")
		} else {
			c.add(false, "no request needs an API key any more")
			return
		}
	}
	for i := range c.before.Accounts {
		old := &c.before.Accounts[i]
		for k, key := range old.Keys {
			owner := c.newIndex.Account(key)
			switch {
			case c.oldIndex.Account(key) != old || slices.Index(old.Keys, key) != k:
			case owner == nil:
				c.add(true, "key %d of account %s stops working: its requests get 401", k+1, old.Name)
			case owner.Name != old.Name:
				c.add(false, "key %d of account %s belongs to account %s", k+1, old.Name, owner.Name)
			}
		}
	}
	for i := range c.after.Accounts {
		account := &c.after.Accounts[i]
		added := 0
		for k, key := range account.Keys {
			if c.newIndex.Account(key) == account && slices.Index(account.Keys, key) == k && c.oldIndex.Account(key) == nil {
				added++
			}
		}
		if added > 0 {
			c.add(false, "keys that start to work for account %s: %d", account.Name, added)
		}
	}
	c.compareAccountPriorities()
}

func (c *comparer) compareAccountPriorities() {
	// Names are not unique: accounts of the same name are paired in their order.
	before := map[string][]*int{}
	for _, account := range c.before.Accounts {
		before[account.Name] = append(before[account.Name], account.Priority)
	}
	for _, account := range c.after.Accounts {
		former := before[account.Name]
		if len(former) == 0 {
			continue
		}
		old := former[0]
		before[account.Name] = former[1:]
		if was, is := priorityText(old), priorityText(account.Priority); was != is {
			c.add(old == nil || account.Priority != nil && *account.Priority > *old, "the priority of account %s changes from %s to %s (0 is the highest)", account.Name, was, is)
		}
	}
}

func priorityText(priority *int) string {
	if priority == nil {
		return "that of the route"
	}
	return fmt.Sprint(*priority)
}

func (c *comparer) compareServices() {
	for i := range c.before.Services {
		old := &c.before.Services[i]
		service := c.newIndex.Service(old.Name)
		if c.oldIndex.Service(old.Name) != old {
			continue
		}
		if service == nil {
			service = &routes.Service{Name: old.Name}
			c.add(false, "service %s is not described any more", old.Name)
		}
		if old.ColdPerSecond != service.ColdPerSecond || old.ColdTime != service.ColdTime {
			c.add(false, "servers of service %s that have just started get at most %v requests per second for %v; so far %v for %v (0 is no limit)",
				old.Name, service.ColdPerSecond, service.ColdTime, old.ColdPerSecond, old.ColdTime)
		}
		if !maps.Equal(old.ModelCosts, service.ModelCosts) {
			c.add(false, "the costs of the models of service %s change from %v to %v", old.Name, old.ModelCosts, service.ModelCosts)
		}
	}
	for i := range c.after.Services {
		if service := &c.after.Services[i]; c.oldIndex.Service(service.Name) == nil && c.newIndex.Service(service.Name) == service {
			c.add(false, "service %s is described; it was not", service.Name)
		}
	}
}

func (c *comparer) compareLimits() {
	before, after := c.before.Limits, c.after.Limits
	c.compareSize("headers", int64(before.HeaderBytes), int64(after.HeaderBytes))
	c.compareSize("bodies", before.BodyBytes, after.BodyBytes)
	c.compareTime("connections of clients", "timeout for a header", before.HeaderTime, after.HeaderTime)
	c.compareTime("connections of clients", "timeout for the next request", before.IdleTime, after.IdleTime)
}

// compareSize describes a changed limit of bytes; 0 means none.
func (c *comparer) compareSize(what string, before, after int64) {
	switch {
	case before == after:
	case after > 0 && (before == 0 || after < before):
		c.add(true, "requests with %s over %d bytes are refused; the limit was %d (0 is no limit)", what, after, before)
	default:
		c.add(false, "the limit of %s changes from %d to %d bytes (0 is no limit)", what, before, after)
	}
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
