package replay

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"medlarslip/internal/coordination/cascade"
	"medlarslip/internal/coordination/rollout"
	"medlarslip/internal/protocol/document"
	"medlarslip/internal/state/backends"
)

const (
	// exchangeInterval is the time between two exchanges of digests.
	exchangeInterval = time.Second
	// propagationDelay is the time until all entry instances have a changed
	// server list or a new document.
	propagationDelay = 2 * time.Second
)

// world is the simulated state of one replay.
type world struct {
	trace   *Trace
	policy  *Policy
	random  *rand.Rand
	start   time.Time
	now     time.Time
	pending timers
	// order numbers the timers, so that timers for the same time run in the
	// order in which they were set.
	order int
	// attempts counts the calls to servers.
	attempts int

	index   *document.Index
	servers map[string]*server
	entries []*entry
	// ratingsDown is true while the rating service doesn't answer.
	ratingsDown bool
	// outSince holds, by failure domain that is taken out, the time from which
	// all entry instances have that configuration.
	outSince map[string]time.Time
	// sessions holds the version IDs that sessions are pinned to, by session
	// and model.
	sessions map[string]map[string]string
	// fixedHalt is true after the policy's own rule has halted the rollout.
	fixedHalt bool
	report    Report
}

// entry is one simulated entry instance.
type entry struct {
	name            string
	domain          string
	table           *backends.Table
	learner         *cascade.Learner
	monitor         *rollout.Monitor
	ratings         cascade.RatingHealth
	roundRobinIndex int
}

// server is one simulated backend server.
type server struct {
	Server
	down        bool
	incarnation int
	running     int
	answered    int
	waiting     []func()
	// calls holds the calls in flight, which fail when the server goes down.
	calls map[*attempt]bool
}

type timer struct {
	at    time.Time
	order int
	run   func()
}

type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	if !t[i].at.Equal(t[j].at) {
		return t[i].at.Before(t[j].at)
	}
	return t[i].order < t[j].order
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *timers) Push(x any) { *t = append(*t, x.(timer)) }

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	old := *t
	last := old[len(old)-1]
	*t = old[:len(old)-1]
	return last
}

func (w *world) after(wait time.Duration, run func()) {
	w.order++
	heap.Push(&w.pending, timer{at: w.now.Add(wait), order: w.order, run: run})
}

// Run replays a trace with a policy. An error means that a document in the trace
// is not valid.
func Run(trace *Trace, policy *Policy) (*Report, error) {
	w := &world{
		trace: trace, policy: policy, random: rand.New(rand.NewPCG(1, 2)), start: time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC),
		servers: map[string]*server{}, outSince: map[string]time.Time{}, sessions: map[string]map[string]string{},
	}
	w.now = w.start
	w.report = Report{Trace: trace.Header.Name, Policy: policy.Name}
	index, err := parseDocument(trace.Header.Document)
	if err != nil {
		return nil, err
	}
	w.index = index
	for _, s := range trace.Header.Servers {
		w.servers[s.ID] = &server{Server: s, calls: map[*attempt]bool{}, answered: initialAnswers}
	}
	w.addEntries()
	if err := w.schedule(); err != nil {
		return nil, err
	}
	for w.pending.Len() > 0 {
		next := heap.Pop(&w.pending).(timer)
		w.now = next.at
		next.run()
	}
	w.report.finish()
	return &w.report, nil
}

// initialAnswers is the number of successful answers that each server is assumed
// to have given before the trace, so that it starts warm.
const initialAnswers = 1000

func (w *world) addEntries() {
	var names []string
	for i := range w.trace.Header.Entries {
		names = append(names, fmt.Sprint("entry-", i))
	}
	for i, name := range names {
		e := &entry{name: name, domain: w.trace.Header.Domains[i%len(w.trace.Header.Domains)], table: backends.NewTable(), learner: cascade.NewLearner()}
		e.monitor = rollout.New(name, func() *document.Index { return w.index }, nil, func() time.Time { return w.now })
		w.entries = append(w.entries, e)
	}
	w.applyList()
}

// coldBound returns the concurrency limit of one entry instance for a server, or
// -1 for a warm server. It models the slots that entry instances grant each
// other: a cold server receives no more than its limit from the whole fleet.
func (w *world) coldBound(snapshot *backends.Snapshot) int {
	s := w.servers[snapshot.Server.ID]
	limit := w.index.ColdLimit(w.index.ModelOf(s.Serves[0]).Name)
	if s.answered >= limit.WarmAfterRequests {
		return -1
	}
	return snapshot.InFlight + max(0, limit.MaxInFlight-len(s.calls))
}

// applyList sends the list of servers that are up to all entry instances.
func (w *world) applyList() {
	var servers []backends.Server
	for _, s := range w.trace.Header.Servers {
		state := w.servers[s.ID]
		if !state.down {
			servers = append(servers, backends.Server{ID: s.ID, Serves: s.Serves, FailureDomain: s.FailureDomain, Incarnation: fmt.Sprint(state.incarnation)})
		}
	}
	for _, e := range w.entries {
		e.table.Apply(servers)
	}
}

func (w *world) schedule() error {
	var last time.Duration
	for i := range w.trace.Events {
		event := &w.trace.Events[i]
		last = time.Duration(event.AtMillis) * time.Millisecond
		switch {
		case event.Request != nil:
			w.after(last, func() { w.arrive(event.Request) })
		case event.Fault != nil:
			w.after(last, func() { w.fault(event.Fault) })
		case event.Document != "":
			index, err := parseDocument(event.Document)
			if err != nil {
				return err
			}
			w.after(last+propagationDelay, func() { w.configure(index) })
		}
	}
	report := time.Duration(w.trace.Header.ReportMillis) * time.Millisecond
	for at := report; at <= last; at += report {
		w.after(at, w.reportLoads)
	}
	for at := exchangeInterval; at <= last; at += exchangeInterval {
		w.after(at, w.exchange)
	}
	return nil
}

func (w *world) configure(index *document.Index) {
	w.index = index
	for _, domain := range index.Document().FailureDomains {
		if !domain.Out {
			delete(w.outSince, domain.Name)
		} else if _, ok := w.outSince[domain.Name]; !ok {
			w.outSince[domain.Name] = w.now
		}
	}
}

func (w *world) fault(fault *Fault) {
	if fault.Ratings {
		w.ratingsDown = fault.Down
		return
	}
	for _, described := range w.trace.Header.Servers {
		s := w.servers[described.ID]
		if s.FailureDomain != fault.Domain {
			continue
		}
		s.down = fault.Down
		if !fault.Down {
			s.incarnation++
			s.answered = 0
			continue
		}
		s.running, s.waiting = 0, nil
		calls := slices.SortedFunc(maps.Keys(s.calls), func(a, b *attempt) int { return a.number - b.number })
		for _, call := range calls {
			w.after(0, call.fail)
		}
		clear(s.calls)
	}
	w.after(propagationDelay, w.applyList)
}

// reportLoads reads the present loads and delivers them to all entry instances
// one report interval later.
func (w *world) reportLoads() {
	readAt := w.now
	loads := map[string]backends.Load{}
	for id, s := range w.servers {
		loads[id] = backends.Load{Running: s.running, Waiting: len(s.waiting), ReadAt: readAt}
	}
	w.after(time.Duration(w.trace.Header.ReportMillis)*time.Millisecond, func() {
		for _, e := range w.entries {
			for _, backend := range e.table.All() {
				backend.SetLoad(loads[backend.Snapshot().Server.ID])
			}
		}
	})
}

// exchange sends the digests of each entry instance to a few random others.
func (w *world) exchange() {
	const fanOut = 10
	for _, e := range w.entries {
		digest, shares := e.monitor.Export(), e.learner.Export()
		for _, i := range w.random.Perm(len(w.entries))[:min(fanOut, len(w.entries))] {
			if other := w.entries[i]; other != e {
				other.monitor.Merge(e.name, digest)
				other.learner.Merge(e.name, shares)
			}
		}
	}
}
