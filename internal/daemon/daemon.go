// Package daemon implements the command line that the long-running programs
// share.
package daemon

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/ansel1/merry/v2"

	"medlarslip/internal/version"
)

// Program is a program that was built from its settings.
type Program interface {
	// Run runs the program until ctx ends.
	Run(ctx context.Context) error
}

// Load reads and checks the settings at path and builds the program. It opens no
// connection.
type Load func(path string) (Program, error)

// Main runs a program until SIGTERM or an interrupt. With the flag -check or
// -version it exits without running the program. Errors are written to standard
// error, with exit code 1.
func Main(load Load) {
	path := flag.String("settings", "", "path of the YAML settings")
	check := flag.Bool("check", false, "check the settings and the keys that they name, and exit")
	showVersion := flag.Bool("version", false, "print the version and exit")
	flag.Parse()
	merry.SetStackCaptureEnabled(false)
	TuneGC()
	if *showVersion {
		fmt.Println(version.String())
		return
	}
	if err := run(load, *path, *check); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(load Load, path string, check bool) error {
	program, err := load(path)
	if err != nil {
		return err
	}
	if check {
		fmt.Println("settings are valid")
		return nil
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return program.Run(ctx)
}
