// Command medlarslip-console serves the operators' console on this machine:
// forms that show, change, sign and publish the configuration document.
package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	"medlarslip/internal/protocol/settings"
	"medlarslip/internal/transport/console"
	"medlarslip/internal/version"
)

func main() {
	path := flag.String("settings", "", "path of the YAML settings")
	check := flag.Bool("check", false, "check the settings and the operator's key, and exit")
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
	s, err := settings.LoadConsole(path)
	if err != nil {
		return err
	}
	server, err := console.FromSettings(s, announce)
	if err != nil {
		return err
	}
	if check {
		fmt.Println("settings are valid")
		return nil
	}
	listener, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return merry.Prepend(err, "listen for the pages; check listen")
	}
	logrus.WithFields(logrus.Fields{"listen": s.Listen, "operator": s.Operator.Name}).Info("starting")
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return server.Run(ctx, listener)
}

// announce prints a sign-in link for the person who started the console.
func announce(url string) {
	fmt.Printf("sign in, once, at %s\n", url)
}
