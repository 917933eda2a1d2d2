package main

import (
	"net"
	"net/http"
	"time"

	"medlarslip/platform/standin"
)

// startStore serves the project's stand-in of the platform's store on a free loopback port.
func startStore() (*standin.Store, string, error) {
	store := standin.NewStore()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	server := &http.Server{Handler: store, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(listener) }()
	return store, listener.Addr().String(), nil
}

// Names that the clients and the configuration share.
const (
	host      = "records.example"
	tenant    = "consorzio"
	apiKey    = "n2ctnfzs989anu6wsjnb"
	plainPath = "/status-read/"
	modelPath = "/route-dossier/"
)

// Bounds of the small sheets.
const (
	drainTime = 2000 * time.Millisecond
	graceS    = 8
	revokeMS  = 5000
	coldPerS  = 14.0
	memoryMB  = 134 // cpcu-rotte
	maxFDs    = 4100
	linkMbps  = 1000
	headerMax = 16384
	bodyMax   = 4194304
	headerMS  = 3000
	idleMS    = 15000
)

// putConfiguration writes a manifest with an idempotent route of a plain service and a streaming
// route of a model service, with the figures of the sheet cpcu-rotte.
func putConfiguration(store *standin.Store) {
	store.PutJSON("keyed.op", "config", map[string]any{
		"version": 1,
		"routes": []any{
			map[string]any{
				"name": "status-read", "host": host, "pathPrefix": plainPath, "kind": "idempotent", "service": "dispatch-app",
				"timeoutMs": 600, "goalMs": 100, "maxAttempts": 2, "priority": 2, "public": false,
			},
			map[string]any{
				"name": "route-dossier", "host": host, "pathPrefix": modelPath, "kind": "streaming", "service": "planner-llm",
				"timeoutMs": 25000, "goalMs": 3000, "gapGoalMs": 800, "maxAttempts": 3, "priority": 1, "public": false, "sticky": true, "canResume": true,
			},
		},
		"services": []any{
			map[string]any{"name": "dispatch-app", "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": false, "coldS": 0, "coldPerS": 0},
			map[string]any{"name": "planner-llm", "healthPath": "/health", "maxConns": 370, "protocol": "h1", "tls": false, "coldS": 3.0, "coldPerS": coldPerS},
		},
		"limits":  map[string]any{"maxHeaderBytes": headerMax, "maxBodyBytes": bodyMax, "headerTimeoutMs": headerMS, "idleTimeoutMs": idleMS},
		"tenants": []any{map[string]any{"name": tenant, "apiKeys": []string{apiKey}, "priority": 1}},
	})
}

// entry is the record of a server in the store.
func (s *server) entry(state string) map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	return map[string]any{
		"service": s.service, "address": s.address, "zone": "pv-piacenza", "version": "v1", "slots": s.slots,
		"state": state, "coldLeftMs": 0, "seq": s.seq, "born": s.born,
	}
}

// register writes the entry of a server, and repeats it as a heartbeat until the program ends.
func register(store *standin.Store, s *server) {
	put := func() {
		s.mu.Lock()
		state := s.state
		s.mu.Unlock()
		store.PutJSON("keyed.servers", s.id, s.entry(state))
	}
	put()
	go func() {
		for {
			select {
			case <-time.After(1200 * time.Millisecond):
				put()
			case <-s.left:
				return
			}
		}
	}()
}

// drain reports that the server is draining, and returns once the store has accepted that.
func (s *server) drain(store *standin.Store) {
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	store.PutJSON("keyed.servers", s.id, s.entry("draining"))
}

// exit removes the entry of a server and ends it.
func (s *server) exit(store *standin.Store) {
	close(s.left)
	store.Put("keyed.servers", s.id, nil)
	_ = s.server.Close()
}
