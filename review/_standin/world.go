package main

import "sync"

// serverList holds the servers that write entries.
type serverList struct {
	mu   sync.Mutex
	list []*backend
}

func (s *serverList) add(b *backend) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = append(s.list, b)
}

func (s *serverList) all() []*backend {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*backend(nil), s.list...)
}

// plainRoutes are the routes of the ledger: bookings run once at most, lookups may be
// repeated.
func plainRoutes() []any {
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": "records.example", "pathPrefix": prefix, "kind": kind, "service": "ledger-app",
			"timeoutMs": 800, "goalMs": 150, "priority": 2, "maxAttempts": attempts, "public": false, "sticky": false,
		}
	}
	return []any{route("bookings", "/bookings/", "non_idempotent", 1), route("lookups", "/lookups/", "idempotent", 2)}
}

// manifest is a configuration with routes and services.
func manifest(version int, routes, services []any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "kavango", "apiKeys": []string{"review-key"}, "priority": 1}},
	}
}

// plainService is the ledger as a service of the configuration.
func plainService(coldS, coldPerS float64) map[string]any {
	return map[string]any{"name": "ledger-app", "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": false, "coldS": coldS, "coldPerS": coldPerS}
}
