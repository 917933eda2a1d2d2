// Command medlarslip-replay replays recorded traces through the decision code
// and prints a table that compares it with reference policies.
package main

import (
	"flag"
	"fmt"
	"os"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	"medlarslip/internal/replay"
)

// errViolations is the result of the command if the decision code violated an
// invariant.
var errViolations = merry.Sentinel("promises were broken; see the list above")

func main() {
	path := flag.String("trace", "", "path of a recorded trace")
	profile := flag.String("profile", "", "generate the trace from a profile instead: kavango, consorzio or design")
	seed := flag.Uint64("seed", 7, "seed of a generated trace")
	write := flag.String("write", "", "write the trace to this path and exit")
	only := flag.Bool("only", false, "skip the reference policies")
	flag.Parse()
	merry.SetStackCaptureEnabled(false)
	logrus.SetLevel(logrus.ErrorLevel)
	if err := run(*path, *profile, *seed, *write, *only); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(path, profile string, seed uint64, write string, only bool) error {
	trace, err := load(path, profile, seed)
	if err != nil {
		return err
	}
	if write != "" {
		file, err := os.Create(write)
		if err != nil {
			return err
		}
		if err := replay.Write(file, trace); err != nil {
			return err
		}
		return file.Close()
	}
	policies := replay.Policies
	if only {
		policies = policies[:1]
	}
	var reports []*replay.Report
	for i := range policies {
		report, err := replay.Run(trace, &policies[i])
		if err != nil {
			return err
		}
		reports = append(reports, report)
	}
	if err := replay.WriteTable(os.Stdout, reports); err != nil {
		return err
	}
	for _, broken := range reports[0].Violations {
		fmt.Println("broken promise:", broken)
	}
	if len(reports[0].Violations) > 0 {
		return errViolations
	}
	return nil
}

func load(path, profile string, seed uint64) (*replay.Trace, error) {
	if path == "" {
		described := replay.ProfileOf(profile)
		if described == nil {
			return nil, merry.Errorf("no profile %q; use kavango, consorzio or design, or give -trace", profile)
		}
		return replay.Generate(described, seed)
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	return replay.Read(file)
}
