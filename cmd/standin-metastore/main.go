// Command standin-metastore stands in for the users' platform: the metadata
// store with a configuration in it, and backend servers that register there.
package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"medlarslip/platform/standin"
)

func main() {
	listen := flag.String("listen", "127.0.0.1:8301", "address of the store")
	count := flag.Int("servers", 2, "backend servers of each service")
	flag.Parse()
	if err := run(*listen, *count); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(listen string, count int) error {
	store := standin.NewStore()
	for _, service := range []string{"ledger", "drafts"} {
		for i := range count {
			if err := register(store, service, fmt.Sprintf("%s-%d", service, i+1)); err != nil {
				return err
			}
		}
	}
	store.PutJSON("keyed.op", "config", configuration())
	server := &http.Server{Addr: listen, Handler: store, ReadHeaderTimeout: time.Second}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if err := server.ListenAndServe(); ctx.Err() == nil {
		return err
	}
	return nil
}

// weakConfidence lets the smallest model's answers be dropped, so that the
// cascade shows.
const weakConfidence = 20

func register(store *standin.Store, service, id string) error {
	server, err := standin.StartServer(id, service, "v1")
	if err != nil {
		return err
	}
	server.SetConfidence("small", weakConfidence)
	store.PutJSON("keyed.servers", id, server.Entry("a", "ready", 0))
	return nil
}

func configuration() any {
	route := func(name, kind, service string) map[string]any {
		return map[string]any{
			"name": name, "host": "records.example", "pathPrefix": "/" + name + "/", "kind": kind, "service": service,
			"timeoutMs": 4000, "goalMs": 500, "maxAttempts": 2,
		}
	}
	drafts := route("drafts", "streaming", "drafts")
	drafts["canResume"], drafts["sizes"] = true, []string{"small", "large"}
	return map[string]any{
		"version":  1,
		"routes":   []any{route("bookings", "non_idempotent", "ledger"), route("lookups", "idempotent", "ledger"), drafts},
		"services": []any{map[string]any{"name": "ledger"}, map[string]any{"name": "drafts"}},
		"limits":   map[string]any{"maxBodyBytes": 1 << 20, "maxHeaderBytes": 16 << 10},
		"tenants":  []any{map[string]any{"name": "kavango", "apiKeys": []string{"demo-key"}}},
	}
}
