// Package process runs a stand-in as a process of its own.
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

// shutdownLimit bounds the wait for requests in progress when the
// process of a stand-in ends.
const shutdownLimit = time.Second

// Run serves a handler at an address until SIGTERM or an interrupt.
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
