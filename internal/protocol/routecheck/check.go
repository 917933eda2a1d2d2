package routecheck

import (
	"fmt"
	"slices"

	"medlarslip/internal/protocol/routes"
)

// Part is a list of a routing table, or its limits.
type Part int

// The parts of a routing table.
const (
	Route Part = iota
	Service
	Account
	Limits
)

// Property is the property of an entry that an issue concerns.
type Property int

// The properties that issues concern.
const (
	Whole Property = iota
	PathPrefix
	// Target is the target of a route with the service Place.Name.
	Target
	Objective
	GapObjective
	Attempts
	// Models is the model of a route at index Place.Sub.
	Models
	// ServiceModel is the model of a service with the name Place.Name.
	ServiceModel
	// Key is the API key of an account at index Place.Sub.
	Key
	BodyBytes
	IdleTime
)

// Place is a location in a routing table.
type Place struct {
	Part     Part
	Index    int
	Property Property
	Sub      int
	Name     string
}

// Issue is one finding about a routing table. All are warnings: instances accept them.
type Issue struct {
	Place   Place
	Problem string
	Remedy  string
}

// bodyMemoryShare is the share of a machine's memory that a single body may take.
const bodyMemoryShare = 0.25

// Options are the facts beside the table that a check takes into account.
type Options struct {
	// MemoryBytes is the memory of the smallest machine that runs an instance; 0 if it is
	// unknown.
	MemoryBytes int64
	// RoutesMissing and ServicesMissing are set if invalid routes or services were left out
	// of the table. What refers to them, or is referred to by them, is not reported then.
	RoutesMissing, ServicesMissing bool
}

// checker collects the issues of one table. The index is the one that instances use, so that
// both agree on which entries are in force.
type checker struct {
	table   *routes.Table
	options Options
	index   *routes.Index
	issues  []Issue
	// used holds the services that routes in force lead to, each with the models that
	// these routes select from; nil if the client names the model of one of them.
	used map[string]map[string]bool
}

// Check returns the issues of a table.
func Check(table *routes.Table, options Options) []Issue {
	c := &checker{table: table, options: options, index: routes.Compile(table), used: map[string]map[string]bool{}}
	for i := range table.Routes {
		c.checkRoute(i, &table.Routes[i])
	}
	for i := range table.Services {
		c.checkService(i, &table.Services[i])
	}
	for i := range table.Accounts {
		c.checkAccount(i, &table.Accounts[i])
	}
	c.checkLimits()
	return c.issues
}

func (c *checker) add(place Place, remedy, problem string, args ...any) {
	c.issues = append(c.issues, Issue{Place: place, Problem: fmt.Sprintf(problem, args...), Remedy: remedy})
}

func (c *checker) checkRoute(i int, route *routes.Route) {
	at := func(p Property) Place { return Place{Part: Route, Index: i, Property: p} }
	if later := c.index.Match(route.Host, route.PathPrefix); later != route {
		c.add(at(PathPrefix), "remove one of the two", "is never used: the later route %q has the same host and prefix and is in force", later.Name)
	} else {
		c.markUsed(route)
	}
	for k, target := range route.Targets {
		if first := slices.IndexFunc(route.Targets, func(t routes.Target) bool { return t.Service == target.Service }); first < k {
			continue
		}
		service := c.index.Service(target.Service)
		place := Place{Part: Route, Index: i, Property: Target, Name: target.Service}
		switch {
		case service != nil:
			c.checkModels(i, route, service)
		case !c.options.ServicesMissing:
			c.add(place, "describe the service, or correct its name", "service %q is not described", target.Service)
		}
	}
	if route.Timeout > 0 && route.Objective > route.Timeout {
		c.add(at(Objective), "lower it, or raise the timeout", "the latency objective, %v, is above the timeout, %v", route.Objective, route.Timeout)
	}
	if route.Timeout > 0 && route.GapObjective > route.Timeout {
		c.add(at(GapObjective), "lower it, or raise the timeout", "the pause between events, %v, is above the timeout, %v", route.GapObjective, route.Timeout)
	}
	switch {
	case route.Repeatable() && route.MaxAttempts <= 1:
		c.add(at(Attempts), "allow at least 2", "the request may be repeated, but there is only one attempt")
	case route.Kind == routes.NonIdempotent && route.MaxAttempts > 1:
		c.add(at(Attempts), "allow 1, unless another server should get a request that the first one has refused without running it", "the request may run only once, but there are %d attempts", route.MaxAttempts)
	}
}

// markUsed records the services and models that a route in force refers to.
func (c *checker) markUsed(route *routes.Route) {
	for _, target := range route.Targets {
		models, known := c.used[target.Service]
		switch {
		case len(route.Models) == 0:
			c.used[target.Service] = nil
		case known && models == nil:
		default:
			if !known {
				models = map[string]bool{}
				c.used[target.Service] = models
			}
			for _, model := range route.Models {
				models[model] = true
			}
		}
	}
}

// checkModels checks the models of a route, smallest first, against the costs of a service.
func (c *checker) checkModels(i int, route *routes.Route, service *routes.Service) {
	for k, model := range route.Models {
		place := Place{Part: Route, Index: i, Property: Models, Sub: k}
		cost, described := service.ModelCosts[model]
		if !described {
			c.add(place, "add it to the models of the service", "service %q does not describe model %q, whose cost is taken as 0", service.Name, model)
			continue
		}
		if k == 0 {
			continue
		}
		smaller := route.Models[k-1]
		if former, ok := service.ModelCosts[smaller]; ok && cost <= former {
			c.add(place, "list the models by size, and correct their costs", "model %q costs %v at service %q, not more than the smaller model %q, %v", model, cost, service.Name, smaller, former)
		}
	}
}

func (c *checker) checkService(i int, service *routes.Service) {
	place := Place{Part: Service, Index: i}
	if c.index.Service(service.Name) != service {
		c.add(place, "remove one of the two", "is never used: a later description of service %q is in force", service.Name)
		return
	}
	if c.options.RoutesMissing {
		return
	}
	models, used := c.used[service.Name]
	if !used {
		c.add(place, "remove it, or add a route to it", "no route in force leads to service %q", service.Name)
		return
	}
	if models == nil {
		return
	}
	for _, model := range sortedKeys(service.ModelCosts) {
		if !models[model] {
			place := Place{Part: Service, Index: i, Property: ServiceModel, Name: model}
			c.add(place, "remove it, or add it to a route", "no route to service %q selects model %q", service.Name, model)
		}
	}
}

func (c *checker) checkAccount(i int, account *routes.Account) {
	if len(account.Keys) == 0 {
		c.add(Place{Part: Account, Index: i}, "add a key, or remove the account", "account %q has no key", account.Name)
	}
	for k, key := range account.Keys {
		place := Place{Part: Account, Index: i, Property: Key, Sub: k}
		switch owner := c.index.Account(key); {
		case key == "":
			c.add(place, "remove it", "an empty key matches no request")
		case owner != account:
			c.add(place, "give each account keys of its own", "the later account %q has the same key and owns it", owner.Name)
		}
	}
}

func (c *checker) checkLimits() {
	limits, memoryBytes := c.table.Limits, c.options.MemoryBytes
	if most := int64(bodyMemoryShare * float64(memoryBytes)); memoryBytes > 0 && limits.BodyBytes > most {
		c.add(Place{Part: Limits, Property: BodyBytes}, fmt.Sprintf("allow at most %d bytes", most), "a body of %d bytes takes more than a quarter of the smallest machine's memory", limits.BodyBytes)
	}
	if limits.IdleTime > 0 && limits.IdleTime < limits.HeaderTime {
		c.add(Place{Part: Limits, Property: IdleTime}, "raise it, or lower the header timeout", "the idle timeout, %v, is below the header timeout, %v", limits.IdleTime, limits.HeaderTime)
	}
}
