// Command medlarslip-explain reports from the logs of instances why requests
// were refused, failed or were late: one line per cause, the most frequent first. Where requests
// have a size it then prints a line for each route and size.
package main

import (
	"flag"
	"fmt"
	"os"

	"medlarslip/internal/losses"
)

func main() {
	flag.Usage = func() {
		fmt.Fprintln(flag.CommandLine.Output(), "usage: medlarslip-explain [LOG ...]\nreads logs of medlarslip-platform, or standard input if no file is given")
	}
	flag.Parse()
	if err := run(flag.Args()); err != nil {
		fmt.Fprintln(os.Stderr, "medlarslip-explain:", err)
		os.Exit(1)
	}
}

func run(names []string) error {
	var report losses.Report
	if len(names) == 0 {
		if err := report.Read(os.Stdin); err != nil {
			return err
		}
	}
	for _, name := range names {
		if err := read(&report, name); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return report.Write(os.Stdout)
}

func read(report *losses.Report, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer file.Close()
	return report.Read(file)
}
