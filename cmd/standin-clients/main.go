// Command standin-clients stands in for clients of the users' platform: it asks
// a directory for instances, sends them requests of every kind at a given rate,
// and reports what became of these.
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
	flag.StringVar(&options.Host, "host", "records.example", "host that requests are for")
	flag.StringVar(&options.Key, "key", "demo-key", "key that requests bear")
	flag.Float64Var(&options.Rate, "rate", 50, "requests a second")
	flag.DurationVar(&options.Duration, "length", 10*time.Second, "how long requests are sent")
	flag.DurationVar(&options.Deadline, "deadline", 4*time.Second, "how long a client waits")
	flag.IntVar(&options.MaxInFlight, "most-open", 200, "bound of the requests under way")
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
