// Command medlarslip-entry is an entry instance: it answers callers and routes
// their requests to backend servers.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	"medlarslip/internal/instance"
	"medlarslip/internal/protocol/settings"
	"medlarslip/internal/version"
)

func main() {
	path := flag.String("settings", "", "path of the YAML settings")
	check := flag.Bool("check", false, "check the settings and exit")
	showVersion := flag.Bool("version", false, "print the version and exit")
	flag.Parse()
	merry.SetStackCaptureEnabled(false)
	if *showVersion {
		fmt.Println(version.String())
		return
	}
	if err := run(*path, *check); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(path string, check bool) error {
	s, err := settings.LoadEntry(path)
	if err != nil {
		return err
	}
	sharedKey, err := settings.LoadSharedKey(s.Keys.SharedKeyFile)
	if err != nil {
		return err
	}
	in, err := instance.New(s, sharedKey)
	if err != nil {
		return err
	}
	if check {
		fmt.Println("settings are valid")
		return nil
	}
	logrus.WithFields(logrus.Fields{"instance": s.Instance, "callers": s.Listen.Callers}).Info("starting")
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := in.Run(ctx); err != nil {
		return err
	}
	logrus.Info("planned stop done")
	return nil
}
