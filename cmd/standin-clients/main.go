// Command standin-clients is a stand-in for clients of the users' platform. It
// resolves instances through a directory, sends them requests of every kind at a
// given rate, and reports the outcomes.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"medlarslip/platform/standin"
)

func main() {
	var options standin.ClientOptions
	flag.StringVar(&options.Directory, "directory", "127.0.8.1:8224", "address of an instance's directory")
	flag.StringVar(&options.Host, "host", "records.example", "value of the Host header")
	flag.StringVar(&options.Key, "key", "demo-key", "API key of the requests")
	flag.Float64Var(&options.Rate, "rate", 50, "requests a second")
	flag.DurationVar(&options.Duration, "length", 10*time.Second, "time for which requests are sent")
	flag.DurationVar(&options.Deadline, "deadline", 4*time.Second, "deadline of each request")
	flag.IntVar(&options.MaxInFlight, "most-open", 200, "limit on requests in flight")
	flag.Parse()
	if err := run(options); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(options standin.ClientOptions) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	report, err := standin.Load(ctx, options)
	if err != nil {
		return err
	}
	return report.Write(os.Stdout)
}
