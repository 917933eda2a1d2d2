package routing_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"medlarslip/internal/coordination/prefill"
	"medlarslip/internal/coordination/routing"
	"medlarslip/internal/coordination/workload"
	"medlarslip/internal/protocol/platform"
	"medlarslip/internal/state/backends"
)

// kind is one kind of request of a drawn load.
type kind struct {
	name               string
	rate               float64
	tokens, shared     int
	tokenSpread        float64
	events             float64
	eventSpread        float64
	objective, timeout time.Duration
}

// load describes a drawn load on a fleet of instances and servers.
type load struct {
	instances, servers, slots int
	speeds                    []float64
	tokensPerMs               float64
	kinds                     []kind
	// scale multiplies all rates.
	scale float64
	// slowMachines is the share of the servers whose machines are at any time slowed by 2.5 for
	// 600 ms; servers report the slowness if it is not 0 or reportsSlowness is set.
	slowMachines float64
	// surge multiplies the rate of the kind of index surgeKind in the middle of the load.
	surge     float64
	surgeKind int
	// lost is the share of the servers that are lost in the middle of the load.
	lost float64
	// hint returns the client's estimate for an answer; nil for none.
	hint func(random *rand.Rand, events int) int
}

const (
	simStep     = 5 * time.Millisecond
	simLength   = 16 * time.Second
	simWarmup   = 3 * time.Second
	middleFrom  = 7 * time.Second
	middleTo    = 11 * time.Second
	stepMs      = 3.8
	largeShare  = 0.65
	cachedParts = 12
	prefixCount = 40
)

// Relative times per token of the models of the load.
const (
	smallModel = 0.3
	largeModel = 3
)

// arrival is one request of a load, drawn before it is served, so that all choices serve the
// same requests.
type arrival struct {
	at             time.Duration
	kind           *kind
	instance       int
	tokens, shared int
	prefix         uint64
	events, hint   int
	weak           bool
	size           workload.Size
}

// arrivals draws the requests of a load.
func (l *load) arrivals(random *rand.Rand) []arrival {
	var all []arrival
	for i := range l.kinds {
		k := &l.kinds[i]
		for at := time.Duration(0); at < simLength; {
			rate := k.rate * l.scale
			if l.surge > 0 && i == l.surgeKind && at >= middleFrom && at < middleTo {
				rate *= l.surge
			}
			at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
			all = append(all, l.draw(random, at, i))
		}
	}
	slices.SortFunc(all, func(a, b arrival) int { return int(a.at - b.at) })
	l.classify(all)
	return all
}

func (l *load) draw(random *rand.Rand, at time.Duration, index int) arrival {
	k := &l.kinds[index]
	lognormal := func(mean, spread float64) float64 {
		return mean * math.Exp(spread*random.NormFloat64()-spread*spread/2)
	}
	a := arrival{at: at, kind: k, instance: random.IntN(l.instances), weak: random.Float64() < largeShare}
	a.tokens = min(max(int(lognormal(float64(k.tokens), k.tokenSpread)), 50), 60000)
	a.shared = a.tokens * k.shared / k.tokens
	// The popularity of a prefix falls with the square of a uniform number.
	u := random.Float64()
	a.prefix = uint64(1 + index*1000 + int(prefixCount*u*u))
	a.events = min(max(int(lognormal(k.events, k.eventSpread)), 2), 900)
	if l.hint != nil {
		a.hint = l.hint(random, a.events)
	}
	return a
}

// run is one run of a request at a server of the simulation.
type run struct {
	*arrival
	sim                      *simulation
	instance                 *instance
	started                  time.Duration
	model                    float64
	server                   *server
	backend                  *backends.Backend
	before                   backends.Snapshot
	prompt                   prefill.Estimate
	request                  workload.Request
	sentAt, headerAt, paceAt time.Duration
	prefillLeft, progress    float64
	eventsSeen, eventsAtPace int
	eventsLeft               int
	first, firstOfRun        time.Duration
	predicted                workload.Times
	chances                  workload.Chances
	outstanding              time.Duration
	headerSeen, warm         bool
	previous                 []string
}

func (r *run) modelName() string {
	if r.model == smallModel {
		return "small"
	}
	return "large"
}

// server is a simulated model server: it processes prompts in sequence between the tokens of
// its running requests.
type server struct {
	speed      float64
	slots      int
	running    []*run
	waiting    []*run
	cached     []string
	slowUntil  time.Duration
	lost       bool
	history    [40]backends.Load
	historyPos int
	busy       float64
}

type instance struct {
	table   *backends.Table
	view    backends.List
	prefill prefill.Estimators
	learned workload.Estimators
	// exchange tells the other instances what was learned.
	exchange *workload.Exchange
}

// simulation serves a load.
type simulation struct {
	*load
	began      time.Time
	now        time.Duration
	byCost     bool
	random     *rand.Rand
	servers    []*server
	instances  []*instance
	done       []outcome
	warm, runs int
}

// outcome is how a request ended.
type outcome struct {
	kind         string
	at           time.Duration
	events, hint int
	first, total time.Duration
	met          bool
	expired      bool
	ratio        float64
	size         workload.Size
	// predictedFirst and firstOfRun are the predicted and the actual time to the first event of
	// the last run; 0 if unknown.
	predictedFirst, firstOfRun time.Duration
}

// simulate serves a load, with a simulated clock. All choices serve the same requests for a
// seed.
func simulate(t *testing.T, l *load, seed uint64, byCost bool) *simulation {
	s := &simulation{load: l, byCost: byCost, random: newRandom(seed + 1000)}
	synctest.Test(t, func(*testing.T) { s.serve(seed) })
	return s
}

func (s *simulation) serve(seed uint64) {
	l := s.load
	s.began = time.Now()
	for i := range l.servers {
		s.servers = append(s.servers, &server{speed: l.speeds[i%len(l.speeds)], slots: l.slots})
	}
	for i := range l.instances {
		s.instances = append(s.instances, newInstance(l))
		s.joinExchange(i)
	}
	pending := l.arrivals(newRandom(seed))
	faults := newRandom(seed + 2000)
	for s.now = 0; s.now < simLength+20*time.Second; s.now += simStep {
		s.exchangeLearned()
		for len(pending) > 0 && pending[0].at <= s.now {
			s.send(&run{arrival: &pending[0], sim: s, started: pending[0].at, instance: s.instances[pending[0].instance], model: smallModel})
			pending = pending[1:]
		}
		for i, sv := range s.servers {
			s.injectFaults(sv, i, faults)
			s.step(sv)
		}
		time.Sleep(simStep)
	}
}

func newInstance(l *load) *instance {
	in := &instance{table: backends.NewTable()}
	var servers []backends.Server
	for i := range l.servers {
		servers = append(servers, backends.Server{ID: fmt.Sprintf("server-%03d", i), Role: platform.RoleEngine, Serves: []string{target}})
	}
	in.table.Apply(servers)
	in.view = in.table.Serving(target)
	return in
}

func (s *simulation) clock() time.Time { return s.began.Add(s.now) }

// injectFaults slows machines and stops servers.
func (s *simulation) injectFaults(sv *server, index int, faults *rand.Rand) {
	const slowTime = 600 * time.Millisecond
	if s.slowMachines > 0 && s.now >= sv.slowUntil && faults.Float64() < s.slowMachines*float64(simStep)/float64(slowTime) {
		sv.slowUntil = s.now + slowTime
	}
	lost := float64(index) < s.lost*float64(s.load.servers) && s.now >= middleFrom && s.now < middleTo
	if lost && !sv.lost {
		for _, r := range slices.Concat(sv.running, sv.waiting) {
			r.backend.Settle(s.clock(), s.now-r.sentAt, backends.CallFailed)
			if !r.headerSeen {
				r.backend.EndPrefill(r.outstanding)
			}
			s.retry(r)
		}
		sv.running, sv.waiting = nil, nil
	}
	sv.lost = lost
}

func (s *simulation) retry(r *run) {
	s.send(&run{
		arrival: r.arrival, sim: s, started: r.started, instance: r.instance, model: r.model, first: r.first,
		previous: append(r.previous, r.before.Server.ID),
	})
}

func (sv *server) slowness(now time.Duration) float64 {
	if now < sv.slowUntil {
		return 2.5
	}
	return 1
}

// send chooses a server for a run and sends it there.
func (s *simulation) send(r *run) {
	in := r.instance
	warmChosen := false
	for {
		objective := r.kind.objective
		r.prompt = in.prefill.Estimate(&prefill.Prompt{Service: "s", Model: r.modelName(), Tokens: r.tokens, Objective: objective})
		shared := time.Duration(float64(r.prompt.Time) * float64(r.shared) / float64(r.tokens))
		r.request = workload.Request{
			Service: "s", Route: r.kind.name, Model: r.modelName(), Stream: true, Long: r.prompt.Long, Prefill: r.prompt.Time, Shared: shared, Hint: r.hint,
		}
		req := &routing.Request{
			Target: target, Now: s.clock(), Remaining: max(r.started+r.kind.timeout-s.now, time.Millisecond), Entries: s.load.instances,
			PrefixHash: r.prefix*2 + uint64(r.model), Prefill: r.prompt.Time, PrefixPrefill: shared, LongPrompt: r.prompt.Long, LongShare: r.prompt.LongShare,
			Exclude: r.previous,
		}
		if s.byCost {
			req.Expected = in.learned.Expect(&r.request, s.clock())
		}
		chosen := routing.Decide(req, in.view, s.random).Chosen()
		if chosen == nil {
			r.previous = nil
			s.finish(r, true)
			return
		}
		warmChosen = chosen.Warm
		r.backend, r.before, r.predicted = in.view[chosen.Index], chosen.Server, chosen.Times
		if s.byCost {
			r.chances = req.Expected.Chances(&r.predicted, r.started+r.kind.objective-s.now, req.Remaining)
		}
		r.server, r.sentAt = s.servers[chosen.Index], s.now
		r.backend.Begin(0)
		if r.server.lost {
			r.backend.Settle(s.clock(), 0, backends.CallUnreachable)
			r.previous = append(r.previous, r.before.Server.ID)
			continue
		}
		break
	}
	r.outstanding = r.prompt.Time
	if warmChosen {
		r.outstanding -= r.request.Shared
	}
	r.backend.BeginPrefill(r.outstanding)
	r.eventsLeft = r.events
	r.server.waiting = append(r.server.waiting, r)
}

// admit starts a run in a free slot.
func (sv *server) admit(r *run) {
	key := fmt.Sprint(r.prefix, r.model)
	tokens := r.tokens
	if at := slices.Index(sv.cached, key); at >= 0 {
		sv.cached = append(slices.Delete(sv.cached, at, at+1), key)
		tokens -= r.shared
		r.warm = true
		r.sim.warm++
	} else {
		sv.cached = append(sv.cached, key)
		if len(sv.cached) > cachedParts {
			sv.cached = sv.cached[1:]
		}
	}
	r.sim.runs++
	r.prefillLeft = float64(tokens) / r.sim.tokensPerMs * r.model
	sv.running = append(sv.running, r)
}

// step advances a server by simStep.
func (s *simulation) step(sv *server) {
	for len(sv.running) < sv.slots && len(sv.waiting) > 0 {
		sv.admit(sv.waiting[0])
		sv.waiting = sv.waiting[1:]
	}
	work := float64(simStep.Milliseconds()) * sv.speed / sv.slowness(s.now)
	decode := work
	prompts := 0.6 * work
	for _, r := range sv.running {
		if r.prefillLeft <= 0 || prompts <= 0 {
			continue
		}
		used := min(prompts, r.prefillLeft)
		r.prefillLeft -= used
		prompts -= used
		decode -= used
	}
	sv.busy += float64(len(sv.running)) / float64(sv.slots) * simStep.Seconds() / simLength.Seconds()
	crowding := 1 + 1.5*float64(len(sv.running)-1)/float64(sv.slots)
	running := sv.running[:0:0]
	for _, r := range sv.running {
		if !s.advance(r, decode/crowding) {
			running = append(running, r)
		}
	}
	sv.running = running
	sv.waiting = slices.DeleteFunc(sv.waiting, func(r *run) bool { return s.expire(r) })
	sv.history[sv.historyPos%len(sv.history)] = backends.Load{
		Running: len(sv.running), Waiting: len(sv.waiting), Slots: sv.slots, Slowness: s.report(sv),
	}
	sv.historyPos++
}

func (s *simulation) report(sv *server) float64 {
	if s.slowMachines == 0 {
		return 0
	}
	return sv.slowness(s.now)
}

// advance gives a run its share of a step and reports whether the run has ended.
func (s *simulation) advance(r *run, decode float64) bool {
	if s.expire(r) {
		return true
	}
	if r.prefillLeft > 0 {
		return false
	}
	if !r.headerSeen {
		s.header(r)
		if r.model == smallModel && r.weak {
			r.settle(backends.CallGood)
			s.send(&run{arrival: r.arrival, sim: s, started: r.started, instance: r.instance, model: largeModel})
			return true
		}
	}
	r.progress += decode / (stepMs * r.model)
	for r.progress >= 1 && r.eventsLeft > 0 {
		r.progress--
		r.eventsLeft--
		s.event(r)
	}
	if r.eventsLeft > 0 {
		return false
	}
	r.instance.learned.ObserveLength(&r.request, r.events, s.clock())
	r.instance.learned.ObserveEnd(&r.request, &r.predicted, s.now-r.sentAt, true, s.clock())
	r.settle(backends.CallGood)
	s.finish(r, false)
	return true
}

// expire ends a run at the deadline of its request.
func (s *simulation) expire(r *run) bool {
	if s.now-r.started < r.kind.timeout {
		return false
	}
	if r.eventsSeen == 0 {
		r.observeFirst(false)
	}
	r.instance.learned.ObserveEnd(&r.request, &r.predicted, s.now-r.sentAt, false, s.clock())
	r.settle(backends.CallNeutral)
	s.finish(r, true)
	return true
}

func (r *run) settle(result backends.CallResult) {
	now := r.sim.clock()
	if !r.headerSeen {
		r.backend.EndPrefill(r.outstanding)
	} else {
		r.instance.learned.ObserveHold(&r.request, r.backend, r.headerAt-r.sentAt, r.sim.now-r.headerAt, now)
	}
	r.backend.Settle(now, r.sim.now-r.sentAt, result)
}

// header records the header of a response, with a load report that is 100 to 200 ms old.
func (s *simulation) header(r *run) {
	r.headerSeen, r.headerAt = true, s.now
	r.backend.EndPrefill(r.outstanding)
	old := 20 + s.random.IntN(20)
	if at := r.server.historyPos - old; at >= 0 {
		report := r.server.history[at%len(r.server.history)]
		report.ReadAt = s.clock()
		r.backend.SetLoad(report)
	}
	took := s.now - r.sentAt
	r.instance.prefill.Observe(&prefill.Prompt{Service: "s", Model: r.modelName(), Tokens: r.tokens, Objective: r.kind.objective}, took, s.clock())
	r.instance.learned.ObserveHeader(&r.request, r.backend, &r.before, took, s.clock())
}

func (s *simulation) event(r *run) {
	r.eventsSeen++
	if r.eventsSeen == 1 {
		r.observeFirst(true)
		r.firstOfRun = s.now - r.sentAt
		if r.first == 0 {
			r.first = s.now - r.started
		}
		r.paceAt, r.eventsAtPace = s.now, 1
	}
	count := r.eventsSeen - r.eventsAtPace
	if count >= 8 || (r.eventsLeft == 0 && count >= 2) {
		r.instance.learned.ObserveEvents(&r.request, r.backend, (s.now-r.paceAt)/time.Duration(count), s.clock())
		r.paceAt, r.eventsAtPace = s.now, r.eventsSeen
	}
}

// observeFirst records the time to the first event, or that the run ended without one.
func (r *run) observeFirst(answered bool) {
	took, learned := r.sim.now-r.sentAt, &r.instance.learned
	learned.ObserveFirst(&r.request, &r.predicted, took, answered, r.sim.clock())
	learned.ObserveObjective(&r.request, &r.chances, took, answered)
}

func (s *simulation) finish(r *run, expired bool) {
	if r.arrival.at < simWarmup {
		return
	}
	o := outcome{
		kind: r.kind.name, at: r.arrival.at, events: r.events, hint: r.hint, first: r.first, total: s.now - r.started, expired: expired,
		size: r.size, predictedFirst: r.predicted.FirstEvent, firstOfRun: r.firstOfRun,
	}
	o.met = !expired && r.first <= r.kind.objective
	if r.predicted.End > 0 && !expired {
		o.ratio = float64(s.now-r.sentAt) / float64(r.predicted.End)
	}
	s.done = append(s.done, o)
}

// summary describes the outcomes of some requests.
type summary struct {
	count, expired   int
	met              float64
	p50, p99         time.Duration
	total, total99   time.Duration
	ratio10, ratio50 float64
	ratio90          float64
}

func (s *simulation) summarize(include func(o *outcome) bool) summary {
	var firsts, totals []time.Duration
	var ratios []float64
	var result summary
	met := 0
	for i := range s.done {
		o := &s.done[i]
		if include != nil && !include(o) {
			continue
		}
		result.count++
		if o.met {
			met++
		}
		if o.expired {
			result.expired++
		}
		if o.ratio > 0 {
			ratios = append(ratios, o.ratio)
		}
		firsts, totals = append(firsts, o.first), append(totals, o.total)
	}
	slices.Sort(firsts)
	slices.Sort(totals)
	slices.Sort(ratios)
	n := len(firsts)
	result.met = float64(met) / float64(n)
	result.p50, result.p99, result.total, result.total99 = firsts[n/2], firsts[n*99/100], totals[n/2], totals[n*99/100]
	if m := len(ratios); m > 0 {
		result.ratio10, result.ratio50, result.ratio90 = ratios[m/10], ratios[m/2], ratios[m*9/10]
	}
	return result
}

func (s summary) String() string {
	return fmt.Sprintf("n %d met %.4f p50 %v p99 %v total %v total99 %v expired %d ratio %.2f %.2f %.2f", s.count, s.met,
		s.p50.Round(time.Millisecond), s.p99.Round(time.Millisecond), s.total.Round(time.Millisecond), s.total99.Round(time.Millisecond), s.expired,
		s.ratio10, s.ratio50, s.ratio90)
}
