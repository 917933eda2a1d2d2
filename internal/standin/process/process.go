// Package process runs a stand-in as a separate process.
package process

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
)

// shutdownLimit bounds the wait for requests in flight at shutdown.
const shutdownLimit = time.Second

// Run serves server at an address until the process receives SIGTERM or an
// interrupt. Requests that are still in flight after the shutdown limit are
// not an error.
func Run(address string, server *fasthttp.Server) error {
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	server.CloseOnShutdown = true
	var group errgroup.Group
	group.Go(func() error { return server.ListenAndServe(address) })
	<-stop.Done()
	limited, cancelLimit := context.WithTimeout(context.Background(), shutdownLimit)
	defer cancelLimit()
	if err := server.ShutdownWithContext(limited); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	return group.Wait()
}
