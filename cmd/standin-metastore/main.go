// Command standin-metastore is a stand-in for the users' platform: a metadata
// store that holds a configuration, and backend servers that register in it.
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
	count := flag.Int("servers", 2, "number of backend servers of each service")
	maxBody := flag.Int64("max-body", standin.DemoMaxBody, "limit of request bodies in bytes")
	flag.Parse()
	if err := run(*listen, *count, *maxBody); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(listen string, count int, maxBody int64) error {
	store, err := standin.NewDemo(count, maxBody)
	if err != nil {
		return err
	}
	server := &http.Server{Addr: listen, Handler: store, ReadHeaderTimeout: time.Second}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if err := server.ListenAndServe(); ctx.Err() == nil {
		return err
	}
	return nil
}
