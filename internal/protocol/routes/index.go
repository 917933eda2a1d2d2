package routes

import "strings"

// Index is a compiled Table. It is immutable and safe for concurrent use.
type Index struct {
	Version      int64
	Limits       Limits
	byHost       map[string]*hostRoutes
	services     map[string]*Service
	byKey        map[string]*Account
	keysRequired bool
	// topPriority holds the highest priority, the lowest number, of the routes of each
	// service.
	topPriority map[string]int
}

type hostRoutes struct {
	byPrefix map[string]*Route
	// maxDepth is the highest number of slashes in a path prefix of the host.
	maxDepth int
}

// Compile returns the index of a table, which must not be changed afterwards.
func Compile(table *Table) *Index {
	index := &Index{
		Version:      table.Version,
		Limits:       table.Limits,
		byHost:       map[string]*hostRoutes{},
		services:     make(map[string]*Service, len(table.Services)),
		byKey:        map[string]*Account{},
		keysRequired: table.Accounts != nil,
		topPriority:  map[string]int{},
	}
	for i := range table.Routes {
		index.addRoute(&table.Routes[i])
	}
	for i := range table.Services {
		index.services[table.Services[i].Name] = &table.Services[i]
	}
	for i := range table.Accounts {
		for _, key := range table.Accounts[i].Keys {
			index.byKey[key] = &table.Accounts[i]
		}
	}
	return index
}

func (x *Index) addRoute(route *Route) {
	host := strings.ToLower(route.Host)
	routes, ok := x.byHost[host]
	if !ok {
		routes = &hostRoutes{byPrefix: map[string]*Route{}}
		x.byHost[host] = routes
	}
	routes.byPrefix[route.PathPrefix] = route
	for i := range route.Targets {
		service := route.Targets[i].Service
		if top, known := x.topPriority[service]; !known || route.Priority < top {
			x.topPriority[service] = route.Priority
		}
	}
	routes.maxDepth = max(routes.maxDepth, strings.Count(route.PathPrefix, "/"))
}

// Match returns the route of the host with the longest prefix of the path, or
// nil. The host is case-insensitive. Its cost grows with the depth of the path,
// not with the number of routes.
func (x *Index) Match(host, path string) *Route {
	routes := x.byHost[strings.ToLower(host)]
	if routes == nil {
		return nil
	}
	end, depth := 0, 0
	var found *Route
	for depth < routes.maxDepth {
		next := strings.IndexByte(path[end:], '/')
		if next < 0 {
			break
		}
		end += next + 1
		depth++
		if route, ok := routes.byPrefix[path[:end]]; ok {
			found = route
		}
	}
	return found
}

// Rank returns by how much the priority of a route is below the highest priority among the
// routes of a service; 0 is the highest.
func (x *Index) Rank(route *Route, service string) int {
	top, known := x.topPriority[service]
	if !known {
		return 0
	}
	return max(route.Priority-top, 0)
}

// Service returns the service of the given name, or nil.
func (x *Index) Service(name string) *Service { return x.services[name] }

// NeedsKey reports whether requests of the route must carry an API key.
func (x *Index) NeedsKey(route *Route) bool { return x.keysRequired && !route.Public }

// Account returns the client account that owns the API key, or nil.
func (x *Index) Account(key string) *Account {
	if key == "" {
		return nil
	}
	return x.byKey[key]
}
