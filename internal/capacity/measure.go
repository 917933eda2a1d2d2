package capacity

import (
	"context"
	"expvar"
	"runtime"
	"strconv"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sync/errgroup"

	"medlarslip/internal/coordination/gossip"
	"medlarslip/internal/pause"
	"medlarslip/internal/protocol/platform"
)

// ErrNotConverged means that a fleet did not converge within
// Plan.ConvergenceTimeout.
var ErrNotConverged = merry.Sentinel("fleet did not converge in time; run fewer instances or allow more time")

// Plan configures one run.
type Plan struct {
	Design  Design
	Nodes   int
	Servers int
	// Settle is the time between convergence and measurement, in which nodes
	// exchange the remaining updates.
	Settle time.Duration
	// Window is the time over which traffic and CPU are measured.
	Window time.Duration
	// ConvergenceTimeout limits each wait for convergence.
	ConvergenceTimeout time.Duration
}

// Result holds the measurements of one run. All except ConvergenceTime and
// UrgentDelay are per node.
type Result struct {
	Plan Plan
	// ConvergenceTime is the time from the start until all nodes had all nodes
	// and the load of all servers.
	ConvergenceTime time.Duration
	// PeerBytes, EngineBytes and ListBytes are the bytes a second, sent and
	// received, between instances, with backend servers and with the instance
	// list.
	PeerBytes, EngineBytes, ListBytes float64
	// PeerMessages and EngineReads are calls a second.
	PeerMessages, EngineReads float64
	// CPU is the fraction of a core, including the stand-ins.
	CPU float64
	// Memory is the heap and stacks in use, in bytes.
	Memory float64
	// UrgentDelay is the time that an urgent change took to reach all nodes.
	UrgentDelay time.Duration
}

// Bytes returns the total bytes a second of a node.
func (r *Result) Bytes() float64 { return r.PeerBytes + r.EngineBytes + r.ListBytes }

// Run runs one fleet and measures it. If the fleet doesn't converge the error is
// ErrNotConverged, and the result holds only what was measured until then.
func Run(ctx context.Context, plan Plan) (*Result, error) {
	st, err := newStandins()
	if err != nil {
		return nil, err
	}
	defer st.close()
	before := memory()
	nodes, err := build(plan, st)
	if err != nil {
		return nil, err
	}
	running, stop := context.WithCancel(ctx)
	var group errgroup.Group
	began := time.Now()
	for _, n := range nodes {
		n.run(running, plan.Design, &group)
	}
	result := &Result{Plan: plan}
	err = measure(ctx, result, nodes, st, began)
	result.Memory = (memory() - before) / float64(plan.Nodes)
	stop()
	for _, n := range nodes {
		n.close()
	}
	if groupErr := group.Wait(); err == nil {
		err = groupErr
	}
	return result, err
}

func build(plan Plan, st *standins) ([]*node, error) {
	nodes := make([]*node, plan.Nodes)
	rows := make([]platform.Instance, plan.Nodes)
	for i := range nodes {
		n, err := newNode(i, st)
		if err != nil {
			return nil, err
		}
		nodes[i], rows[i] = n, n.self
	}
	return nodes, st.setList(rows, plan.Servers)
}

func measure(ctx context.Context, result *Result, nodes []*node, st *standins, began time.Time) error {
	plan := result.Plan
	if err := await(ctx, plan.ConvergenceTimeout, func() bool { return converged(nodes, plan) }); err != nil {
		return err
	}
	result.ConvergenceTime = time.Since(began)
	pause.For(ctx, plan.Settle)
	first := sample(st)
	pause.For(ctx, plan.Window)
	last := sample(st)
	// Extend the window if a busy machine has done no work in it, since the
	// rates would be 0.
	err := await(ctx, plan.ConvergenceTimeout, func() bool {
		last = sample(st)
		return last.peerBytes > first.peerBytes && last.engineReads > first.engineReads
	})
	if err != nil {
		return err
	}
	result.setRates(first, last)
	return measureUrgent(ctx, result, nodes)
}

func converged(nodes []*node, plan Plan) bool {
	for _, n := range nodes {
		if plan.Design == DesignNaive {
			n.naive.mu.Lock()
			full := len(n.naive.state.Members) == plan.Nodes && len(n.naive.state.Loads) == plan.Servers
			n.naive.mu.Unlock()
			if !full {
				return false
			}
			continue
		}
		if len(n.members.EntryIDs()) != plan.Nodes || !allLoadsReported(n, plan.Servers) {
			return false
		}
	}
	return true
}

func allLoadsReported(n *node, servers int) bool {
	all := n.table.All()
	for _, backend := range all {
		if backend.Snapshot().Load.ReadAt.IsZero() {
			return false
		}
	}
	return len(all) == servers
}

// measureUrgent publishes a change at one node and waits until all nodes have it.
func measureUrgent(ctx context.Context, result *Result, nodes []*node) error {
	const key = "capacity-probe"
	began := time.Now()
	known := func(n *node) bool {
		_, _, ok := n.gossip.Get(gossip.KindWarmth, key)
		return ok
	}
	if result.Plan.Design == DesignNaive {
		nodes[0].naive.mark(key)
		known = func(n *node) bool { return n.naive.hasMark(key) }
	} else {
		nodes[0].gossip.Publish(gossip.KindWarmth, key, []byte{1}, 0, true)
	}
	err := await(ctx, result.Plan.ConvergenceTimeout, func() bool {
		for _, n := range nodes {
			if !known(n) {
				return false
			}
		}
		return true
	})
	result.UrgentDelay = time.Since(began)
	return err
}

func await(ctx context.Context, patience time.Duration, done func() bool) error {
	const step = 5 * time.Millisecond
	end := time.Now().Add(patience)
	for !done() {
		if ctx.Err() != nil || time.Now().After(end) {
			return ErrNotConverged
		}
		pause.For(ctx, step)
	}
	return nil
}

// counts are the totals since the start of the process at one moment.
type counts struct {
	at                                                        time.Time
	peerBytes, engineBytes, listBytes, peerCalls, engineReads float64
	cpu                                                       time.Duration
}

func sample(st *standins) counts {
	return counts{
		at:          time.Now(),
		peerBytes:   counterValue("peer_bytes_sent") + counterValue("peer_bytes_received"),
		engineBytes: float64(st.engines.bytes.Load()),
		listBytes:   float64(st.list.bytes.Load()),
		peerCalls:   peerCalls(),
		engineReads: float64(st.requests.Load()),
		cpu:         cpuTime(),
	}
}

func (r *Result) setRates(first, last counts) {
	scale := 1 / (last.at.Sub(first.at).Seconds() * float64(r.Plan.Nodes))
	r.PeerBytes = (last.peerBytes - first.peerBytes) * scale
	r.EngineBytes = (last.engineBytes - first.engineBytes) * scale
	r.ListBytes = (last.listBytes - first.listBytes) * scale
	r.PeerMessages = (last.peerCalls - first.peerCalls) * scale
	r.EngineReads = (last.engineReads - first.engineReads) * scale
	r.CPU = (last.cpu - first.cpu).Seconds() * scale
}

func counterValue(name string) float64 {
	value, err := strconv.ParseFloat(expvar.Get(name).String(), 64)
	if err != nil {
		return 0
	}
	return value
}

func peerCalls() float64 {
	total := 0.0
	calls, ok := expvar.Get("peer_calls").(*expvar.Map)
	if !ok {
		return 0
	}
	calls.Do(func(kv expvar.KeyValue) {
		if count, ok := kv.Value.(*expvar.Int); ok {
			total += float64(count.Value())
		}
	})
	return total
}

// cpuTime returns the CPU time that this process has used, or 0 if it can't be
// read.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// memory returns heap and stacks in use, in bytes.
func memory() float64 {
	// A sync.Pool releases its unused objects only at the second collection.
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapInuse + stats.StackInuse)
}
