// Command medlarslip-bill totals the billing records in the log by client
// account and version. It reports missing records and the number of duplicates
// that it dropped. The exit status is 2 if records are missing.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"medlarslip/internal/coordination/billing"
	"medlarslip/internal/coordination/eventlog"
	"medlarslip/internal/protocol/platform"
	"medlarslip/internal/transport/httpconn"
	"medlarslip/internal/transport/logclient"
	"medlarslip/internal/version"
)

const (
	readLimit   = 1000 // records a page
	readTimeout = 30 * time.Second
	exitGaps    = 2 // exit status
)

// errGaps means that records are missing, so the totals may be too low.
var errGaps = errors.New("the bill has gaps; run this again after the named instances have written their records, and keep their logs if the gaps remain")

func main() {
	log := flag.String("log", "127.0.0.1:8001", "IP number and port of the log service")
	from := flag.Int64("from", 0, "first offset to read; gaps are reliable only if it is 0")
	asJSON := flag.Bool("json", false, "print JSON")
	showVersion := flag.Bool("version", false, "print the version and exit")
	flag.Parse()
	if *showVersion {
		fmt.Println(version.String())
		return
	}
	err := run(*log, *from, *asJSON)
	switch {
	case errors.Is(err, errGaps):
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitGaps)
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(address string, from int64, asJSON bool) error {
	pool := httpconn.NewPool(httpconn.DefaultOptions())
	defer pool.Close()
	report, err := read(logclient.New(address, pool), from)
	if err != nil {
		return err
	}
	if asJSON {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		err = encoder.Encode(report)
	} else {
		err = printReport(os.Stdout, report)
	}
	if err == nil && len(report.Gaps) > 0 {
		return errGaps
	}
	return err
}

// read totals the billing stream from an offset to its end.
func read(log eventlog.Log, from int64) (*billing.Report, error) {
	totals := billing.NewTotals()
	first := int64(-1)
	for {
		ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
		page, err := log.Read(ctx, platform.StreamBilling, from, readLimit, 0)
		cancel()
		if err != nil {
			return nil, err
		}
		if first < 0 {
			first = page.FirstOffset
		}
		for _, raw := range page.Records {
			totals.Add(raw)
		}
		from = page.FirstOffset + int64(len(page.Records))
		if from >= page.Next {
			return totals.Report(first, from), nil
		}
	}
}

func printReport(out io.Writer, report *billing.Report) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "account\tversion\tsteps\tnot accepted\ttokens\tmicros\t")
	for _, line := range report.Lines {
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t\n", line.Account, line.VersionID, line.Steps, line.Failed, line.Tokens, line.Micros)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(out, "%d requests in offsets %d to %d; %d repeats dropped, %d records unreadable\n", report.Requests, report.FirstOffset, report.Next, report.Repeats, report.Unreadable)
	if report.FirstOffset > 0 {
		fmt.Fprintf(out, "records below offset %d are not part of this bill\n", report.FirstOffset)
	}
	for _, gap := range report.Gaps {
		fmt.Fprintf(out, "missing: records %d to %d of %s (incarnation %s)\n", gap.First, gap.Last, gap.Instance, gap.Incarnation)
	}
	return nil
}
