// Command medlarslip-capacity measures the cost of coordination per node at
// several fleet sizes, and fits the slopes that docs/CAPACITY.md uses.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"medlarslip/internal/capacity"
)

// The fleet size that the system is designed for.
const (
	designNodes   = 410
	designServers = 600
)

func main() {
	sizes := flag.String("sizes", "9,50,100,200,410", "numbers of nodes, separated by commas")
	naive := flag.String("naive", "9,50,100", "numbers of nodes for the naive baseline; empty for none")
	servers := flag.Int("servers", 0, "number of backend servers; 0 for 600 per 410 nodes")
	settle := flag.Duration("settle", 5*time.Second, "time between convergence and measurement")
	window := flag.Duration("window", 20*time.Second, "length of one measurement")
	patience := flag.Duration("patience", 2*time.Minute, "longest wait for convergence")
	flag.Parse()
	logrus.SetOutput(io.Discard)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	base := capacity.Plan{Servers: *servers, Settle: *settle, Window: *window, ConvergenceTimeout: *patience}
	if err := run(ctx, base, *sizes, *naive); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(ctx context.Context, base capacity.Plan, sizes, naive string) error {
	plans, err := plansFor(base, capacity.DesignMedlarslip, sizes)
	if err != nil {
		return err
	}
	plain, err := plansFor(base, capacity.DesignNaive, naive)
	if err != nil {
		return err
	}
	var results []*capacity.Result
	for _, plan := range append(plans, plain...) {
		result, err := capacity.Run(ctx, plan)
		if err != nil {
			fmt.Fprintf(os.Stderr, "%s, %d nodes: %v\n", plan.Design, plan.Nodes, err)
			continue
		}
		results = append(results, result)
	}
	capacity.Report(os.Stdout, results)
	capacity.ReportLines(os.Stdout, results, capacity.DesignMedlarslip, designNodes)
	if len(plain) > 0 {
		capacity.ReportLines(os.Stdout, results, capacity.DesignNaive, designNodes)
	}
	return nil
}

// plansFor returns a plan for each of the comma-separated sizes.
func plansFor(base capacity.Plan, design capacity.Design, sizes string) ([]capacity.Plan, error) {
	var plans []capacity.Plan
	for _, text := range strings.Split(sizes, ",") {
		if text == "" {
			continue
		}
		nodes, err := strconv.Atoi(text)
		if err != nil || nodes < 1 {
			return nil, fmt.Errorf("size %q is not a positive integer; use sizes such as 9,50,100", text)
		}
		plan := base
		plan.Design, plan.Nodes = design, nodes
		if plan.Servers == 0 {
			plan.Servers = max(nodes*designServers/designNodes, 1)
		}
		plans = append(plans, plan)
	}
	return plans, nil
}
