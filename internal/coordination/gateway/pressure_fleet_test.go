package gateway

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/textproto"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"medlarslip/internal/boottime"
	"medlarslip/internal/coordination/admission"
	"medlarslip/internal/coordination/brittle"
	"medlarslip/internal/coordination/fleetlimit"
	"medlarslip/internal/coordination/quarantine"
	"medlarslip/internal/coordination/reachability"
	"medlarslip/internal/coordination/retrybudget"
	"medlarslip/internal/coordination/staging"
	"medlarslip/internal/protocol/routes"
	"medlarslip/internal/state/backends"
)

// reportDelay is the age of the loads that the servers of a pressureFleet report.
const reportDelay = 150 * time.Millisecond

// exchangeInterval is the time between two exchanges of counts: two rounds of datagrams, as in a
// large fleet.
const exchangeInterval = 800 * time.Millisecond

// serverQueue is the number of requests that a server of a pressureFleet queues.
const serverQueue = 16

// kindOfWork is a kind of request of a pressureFleet. Its hold is how long a run of the
// strongest model occupies a slot of an idle server.
type kindOfWork struct {
	name      string
	service   string
	rank      int
	rate      float64 // requests per second of the fleet
	hold      time.Duration
	objective time.Duration
	deadline  time.Duration
	cascade   bool
	once      bool
}

// loadAt is the load of a server since a point in time.
type loadAt struct {
	at               time.Time
	running, waiting int
}

// slotServer is a server that runs as many requests as it has slots and queues some more, lower
// priority numbers first. It runs slower the more of its slots are taken.
type slotServer struct {
	id    string
	slots int

	// onlySmall is true if the server refuses the runs of all models but the smallest.
	onlySmall bool

	mu      sync.Mutex
	down    bool
	ended   chan struct{}
	running int
	queue   []*slotWaiter
	history []loadAt
}

type slotWaiter struct {
	priority int
	granted  chan struct{}
}

func (s *slotServer) note() {
	s.history = append(s.history, loadAt{at: time.Now(), running: s.running, waiting: len(s.queue)})
	for len(s.history) > 1 && time.Since(s.history[1].at) >= reportDelay {
		s.history = s.history[1:]
	}
}

// enter waits for a slot. It returns false if the queue is full or the client leaves.
func (s *slotServer) enter(ctx context.Context, priority int) (ok, full bool) {
	s.mu.Lock()
	if s.running < s.slots && len(s.queue) == 0 {
		s.running++
		s.note()
		s.mu.Unlock()
		return true, false
	}
	if len(s.queue) >= serverQueue {
		s.mu.Unlock()
		return false, true
	}
	w := &slotWaiter{priority: priority, granted: make(chan struct{})}
	at := len(s.queue)
	for at > 0 && s.queue[at-1].priority > priority {
		at--
	}
	s.queue = slices.Insert(s.queue, at, w)
	s.note()
	ended := s.ended
	s.mu.Unlock()
	select {
	case <-w.granted:
		return true, false
	case <-ctx.Done():
	case <-ended:
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if at := slices.Index(s.queue, w); at >= 0 {
		s.queue = slices.Delete(s.queue, at, at+1)
		s.note()
		return false, false
	}
	s.leaveLocked()
	return false, false
}

func (s *slotServer) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaveLocked()
}

func (s *slotServer) leaveLocked() {
	s.running--
	if len(s.queue) > 0 && s.running < s.slots {
		s.running++
		close(s.queue[0].granted)
		s.queue = s.queue[1:]
	}
	s.note()
}

// stop makes the server end: its requests break, and it accepts no connection until start.
func (s *slotServer) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = true
	close(s.ended)
}

func (s *slotServer) start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down, s.ended = false, make(chan struct{})
}

func (s *slotServer) pace() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return 0.5 + 0.5*float64(s.running)/float64(s.slots)
}

func (s *slotServer) report() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.note()
	return fmt.Sprintf("%d,%d,%d", s.history[0].running, s.history[0].waiting, s.slots)
}

// pressureFleet is a fleet of gateways and servers without a network, on the clock of a
// synctest bubble.
type pressureFleet struct {
	kinds    []kindOfWork
	gateways []*Gateway
	servers  map[string]*slotServer
	costs    map[string]float64

	mu      sync.Mutex
	results []result
	nextID  int
	// share is the demand of an instance at a time, 0 to 1; nil if all have the same.
	share func(at time.Duration, instance int) float64
	// random draws the arrivals, only in play.
	random *rand.Rand
	// retries is how often a client repeats a refused request, after Retry-After.
	retries int
	// restart returns a new gateway for an instance.
	restart func(instance int) *Gateway
	// cutOff reports whether an instance is cut off from its peers; nil if none is. leaders
	// returns the leaders of a large fleet.
	cutOff  func(instance int) bool
	leaders func() []int

	// excess counts the requests above the share of each account, and outcomes what admission
	// did with runs.
	excess   map[string]int
	outcomes map[string]int
	// body returns the body of a response that states its length; nil if responses state none.
	body func(ctx context.Context) (source io.Reader, length int)
	// refusals counts the runs that servers with onlySmall refused, and onRefusal is called at each.
	refusals  int
	onRefusal func()
	// received counts the requests that each server received.
	received map[string]int
	// runs counts the runs of each request at servers.
	runs map[string]int
}

// result is how a request ended.
type result struct {
	kind, account string
	status        int
	model, body   string
	began         time.Duration
	took          time.Duration
	retryAfter    time.Duration
	attempts      int
	// closed is true if the connection was closed without a complete response.
	closed bool
}

// fleetUpstream is the connection of a gateway to the servers of a fleet.
type fleetUpstream struct{ fleet *pressureFleet }

func (u fleetUpstream) Refuses(context.Context, string) bool { return false }

func (u fleetUpstream) Send(ctx context.Context, address string, raw RawRequest) (RawResponse, error) {
	s := u.fleet.servers[address]
	u.fleet.mu.Lock()
	u.fleet.received[address]++
	u.fleet.mu.Unlock()
	reader := textproto.NewReader(bufio.NewReader(bytes.NewReader(raw.Head)))
	_, _ = reader.ReadLine()
	mime, _ := reader.ReadMIMEHeader()
	head := http.Header(mime)
	s.mu.Lock()
	down, ended := s.down, s.ended
	s.mu.Unlock()
	if down {
		return nil, &SendError{Refused: true, Err: errors.New("connection refused")}
	}
	if s.onlySmall && head.Get("Sim-Model") != "small" {
		refused := http.Header{"Id": {head.Get("Sim-Id")}, "Sealed": {"1"}, "Not-Run": {"1"}}
		u.fleet.mu.Lock()
		u.fleet.refusals++
		u.fleet.onRefusal()
		u.fleet.mu.Unlock()
		return &fakeResponse{status: http.StatusServiceUnavailable, header: refused}, nil
	}
	priority, _ := strconv.Atoi(head.Get("Sim-Priority"))
	reply := http.Header{"Id": {head.Get("Sim-Id")}, "Sealed": {"1"}}
	entered, full := s.enter(ctx, priority)
	if full {
		reply.Set("Not-Run", "1")
		reply.Set("Load", s.report())
		return &fakeResponse{status: http.StatusServiceUnavailable, header: reply}, nil
	}
	if !entered {
		return nil, &SendError{MayHaveRun: true, Err: errors.New("connection broke")}
	}
	defer s.leave()
	u.fleet.mu.Lock()
	u.fleet.runs[head.Get("Sim-Id")]++
	run := u.fleet.runs[head.Get("Sim-Id")]
	u.fleet.mu.Unlock()
	// The draws of a run do not depend on the order in which goroutines run.
	random := rand.New(rand.NewPCG(*pressureSeed, xxhash.Sum64String(head.Get("Sim-Id"))+uint64(run)))
	hold, _ := time.ParseDuration(head.Get("Sim-Hold"))
	cost := 1.0
	if model := head.Get("Sim-Model"); model != "" {
		cost = u.fleet.costs[model] / u.fleet.costs["large"]
		reply.Set("Model", model)
		reply.Set("Confidence", "80")
		if model != "large" && random.Float64() < 0.65 {
			reply.Set("Confidence", "20")
		}
	}
	spread := 0.5 + random.Float64()
	select {
	case <-ctx.Done():
		return nil, &SendError{MayHaveRun: true, Err: ctx.Err()}
	case <-ended:
		return nil, &SendError{MayHaveRun: true, Err: errors.New("connection broke")}
	case <-time.After(time.Duration(spread * cost * s.pace() * float64(hold))):
	}
	reply.Set("Load", s.report())
	response := &fakeResponse{status: http.StatusOK, header: reply}
	if u.fleet.body != nil {
		source, length := u.fleet.body(ctx)
		response.body = source
		reply.Set("Content-Length", strconv.Itoa(length))
	}
	return response, nil
}

// lockedSource is a random source that is safe for concurrent use.
type lockedSource struct {
	mu     sync.Mutex
	source *rand.PCG
}

func (s *lockedSource) Uint64() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.source.Uint64()
}

// fakeResponse is a response of a server of a pressureFleet, without a body if that is nil.
type fakeResponse struct {
	status int
	header http.Header
	body   io.Reader
}

func (r *fakeResponse) Status() int         { return r.status }
func (r *fakeResponse) Header() http.Header { return r.header }
func (r *fakeResponse) Framed() bool        { return true }
func (r *fakeResponse) Close()              {}

func (r *fakeResponse) Read(p []byte) (int, error) {
	if r.body == nil {
		return 0, io.EOF
	}
	return r.body.Read(p)
}

// fleetMetrics counts for a pressureFleet.
type fleetMetrics struct {
	noMetrics
	fleet *pressureFleet
}

func (m fleetMetrics) Excess(account string) {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	m.fleet.excess[account]++
}

func (m fleetMetrics) Admitted(_ string, _ int, outcome string, _ time.Duration) {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	m.fleet.outcomes[outcome]++
}

// newPressureFleet returns a fleet of instances with servers of 12 slots for each service.
func newPressureFleet(instances int, servers map[string]int, kinds []kindOfWork, pressure bool) *pressureFleet {
	f := &pressureFleet{kinds: kinds, random: rand.New(rand.NewPCG(*pressureSeed, 0)), servers: map[string]*slotServer{}, costs: map[string]float64{"small": 0.3, "middle": 0.8, "large": 3}, runs: map[string]int{}, received: map[string]int{}, excess: map[string]int{}, outcomes: map[string]int{}}
	f.leaders, f.onRefusal = func() []int { return []int{0, 1} }, func() {}
	var list []backends.Server
	table := &routes.Table{Accounts: []routes.Account{}}
	for service, count := range servers {
		for i := range count {
			id := fmt.Sprintf("%s-%d", service, i)
			f.servers[id] = &slotServer{id: id, slots: 12, ended: make(chan struct{})}
			list = append(list, backends.Server{ID: id, Address: id, Serves: []string{service}, Version: "v1", Incarnation: id})
		}
		table.Services = append(table.Services, routes.Service{Name: service, ModelCosts: f.costs})
	}
	for _, kind := range kinds {
		route := routes.Route{
			Name: kind.name, Host: "h", PathPrefix: "/" + kind.name + "/", Targets: []routes.Target{{Service: kind.service, Weight: 1}},
			Objective: kind.objective, Timeout: kind.deadline, MaxAttempts: 3, Priority: kind.rank,
		}
		if kind.cascade {
			route.Models = []string{"small", "middle", "large"}
		}
		if kind.once {
			route.Kind = routes.NonIdempotent
		}
		table.Routes = append(table.Routes, route)
	}
	for i := range 24 {
		table.Accounts = append(table.Accounts, routes.Account{Name: accountOf(i), Keys: []string{"key-" + accountOf(i)}})
	}
	index := routes.Compile(table)
	f.restart = func(i int) *Gateway {
		g := f.newGateway(i, index, list, instances, pressure)
		g.Accounts = admission.NewAccounts(admission.AccountsOptions{
			Now: time.Now, Enabled: func() bool { return pressure }, Share: func() float64 { return f.reached(i) },
			Large: func() bool { return instances > 20 }, Leads: func() bool { return slices.Contains(f.leaders(), i) },
		})
		return g
	}
	for i := range instances {
		f.gateways = append(f.gateways, f.restart(i))
	}
	return f
}

// reached returns the share of the fleet that an instance is in contact with.
func (f *pressureFleet) reached(instance int) float64 {
	if f.cutOff != nil && f.cutOff(instance) {
		return 1 / float64(len(f.gateways))
	}
	return 1
}

// exchange sends the counts of the accounts as the datagrams of a round would: between all pairs,
// or in a large fleet between members and leaders. A hundredth is lost.
func (f *pressureFleet) exchange() {
	send := func(from, to int) {
		lost := f.cutOff != nil && (f.cutOff(from) || f.cutOff(to)) || f.random.IntN(100) == 0
		if report := f.gateway(from).Accounts.Report(); !lost && from != to {
			f.gateway(to).Accounts.Merge(strconv.Itoa(from), report)
		}
	}
	for i := range f.gateways {
		if len(f.gateways) <= 20 {
			for j := range f.gateways {
				send(i, j)
			}
			continue
		}
		for _, leader := range f.leaders() {
			send(i, leader)
			send(leader, i)
		}
	}
}

// replace starts an instance anew, without anything that the former one knew. The requests of the
// former one end by themselves.
func (f *pressureFleet) replace(instance int) {
	g := f.restart(instance)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gateways[instance] = g
}

func (f *pressureFleet) gateway(instance int) *Gateway {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.gateways[instance]
}

func accountOf(i int) string { return "account-" + strconv.Itoa(i) }

func (f *pressureFleet) newGateway(instance int, index *routes.Index, list []backends.Server, instances int, pressure bool) *Gateway {
	backendTable := backends.NewTable()
	backendTable.Apply(list)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	logger.SetLevel(logrus.ErrorLevel)
	log := logrus.NewEntry(logger)
	count := func() int { return instances }
	return New(Options{
		Codec: fleetCodec{}, Log: log, Metrics: fleetMetrics{fleet: f}, Upstream: fleetUpstream{fleet: f}, Servers: backendTable, AnswerValue: 10,
		Bounds: func() Bounds {
			return Bounds{Budget: retrybudget.Options{Ratio: 1, Slack: 1000, Window: 5 * time.Second}}
		},
		ConfigurationExpected: func() time.Duration { return 0 },
		Current:               func() Configuration { return Configuration{Index: index, ProvenAt: boottime.Now()} },
		Limits:                fleetlimit.New(fleetlimit.Options{Now: boottime.Now, Log: log}),
		Quarantine: quarantine.New(quarantine.Options{
			Now: boottime.Now, SettleTime: func() time.Duration { return time.Second }, First: func(string) bool { return false }, Changed: func() {}, Log: log,
		}),
		Brittle:      brittle.NewGate(brittle.Options{Instances: count}),
		Reachability: reachability.New(reachability.Options{}), OthersReach: func() bool { return false },
		Staging: staging.New(func() float64 { return 0 }, time.Now), DomainOut: func(string) bool { return false },
		Random:    &lockedSource{source: rand.NewPCG(*pressureSeed, uint64(1+instance))},
		Instances: count, Rank: func(string) int { return 0 }, Pressure: func() bool { return pressure }, LongPromptSent: func() {},
	})
}

// send sends a request to an instance and records the result.
func (f *pressureFleet) send(ctx context.Context, instance int, kind *kindOfWork, account string, start time.Time) result {
	return f.sendAs(ctx, f.newID(), instance, kind, account, start)
}

func (f *pressureFleet) newID() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nextID++
	return "r" + strconv.Itoa(f.nextID)
}

// sendAs is send for a request of the given ID.
func (f *pressureFleet) sendAs(ctx context.Context, id string, instance int, kind *kindOfWork, account string, start time.Time) result {
	began := time.Now()
	request := httptest.NewRequestWithContext(ctx, http.MethodPost, "/"+kind.name+"/", http.NoBody)
	request.Host = "h"
	request.Header = http.Header{"Sim-Id": {id}, "Sim-Deadline": {kind.deadline.String()}, "Sim-Hold": {kind.hold.String()}, "Sim-Key": {"key-" + account}}
	switch {
	case kind.cascade:
		request.Header.Set("Sim-Any", "1")
	case kind.service == "models":
		request.Header.Set("Sim-Model", "large")
	}
	recorder, closed := httptest.NewRecorder(), false
	func() {
		defer func() { closed = recover() != nil }()
		f.gateway(instance).ServeHTTP(recorder, request)
	}()
	r := result{
		kind: kind.name, account: account, status: recorder.Code, model: recorder.Header().Get("Model"), body: recorder.Body.String(), closed: closed,
		began: began.Sub(start), took: time.Since(began),
	}
	if seconds, err := strconv.ParseFloat(recorder.Header().Get("Retry-After"), 64); err == nil {
		r.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	f.mu.Lock()
	r.attempts = f.runs[id]
	f.results = append(f.results, r)
	f.mu.Unlock()
	return r
}

// demand is the factor by which a kind of request, of an account at an instance, exceeds its
// usual rate at a time.
type demand func(at time.Duration, kind *kindOfWork) float64

// accountDraw draws the account of a request that begins at a time.
type accountDraw func(at time.Duration, random *rand.Rand) string

// play sends requests at random for a time and waits until all have ended. draw returns the
// account of a request.
func (f *pressureFleet) play(ctx context.Context, length time.Duration, factor demand, draw accountDraw) {
	const step = 10 * time.Millisecond
	start := time.Now()
	var group sync.WaitGroup
	for at := time.Duration(0); at < length; at += step {
		if at%exchangeInterval == 0 {
			f.exchange()
		}
		for i := range f.kinds {
			kind := &f.kinds[i]
			for expected := kind.rate * factor(at, kind) * step.Seconds(); expected > 0; expected-- {
				if f.random.Float64() >= expected {
					continue
				}
				delay, instance, account := time.Duration(f.random.Int64N(int64(step))), f.drawInstance(at), draw(at, f.random)
				id := f.newID()
				group.Go(func() {
					time.Sleep(delay)
					for tries := 0; ; tries++ {
						r := f.sendAs(ctx, id+"-"+strconv.Itoa(tries), instance, kind, account, start)
						if r.retryAfter <= 0 || tries >= f.retries {
							return
						}
						time.Sleep(r.retryAfter)
					}
				})
			}
		}
		time.Sleep(step)
	}
	group.Wait()
}

func (f *pressureFleet) drawInstance(at time.Duration) int {
	for {
		instance := f.random.IntN(len(f.gateways))
		if f.share == nil || f.random.Float64() < f.share(at, instance) {
			return instance
		}
	}
}

// inTime returns the share of the requests that match which were answered within their
// objective.
func (f *pressureFleet) inTime(match func(*result) bool) float64 {
	good, all := 0, 0
	for i := range f.results {
		r := &f.results[i]
		if !match(r) {
			continue
		}
		all++
		if r.status == http.StatusOK && r.took <= f.kind(r.kind).objective {
			good++
		}
	}
	return float64(good) / float64(max(all, 1))
}

func (f *pressureFleet) kind(name string) *kindOfWork {
	for i := range f.kinds {
		if f.kinds[i].name == name {
			return &f.kinds[i]
		}
	}
	return nil
}

// answered returns the share of the requests that match which were answered.
func (f *pressureFleet) answered(match func(*result) bool) float64 {
	good, all := 0, 0
	for i := range f.results {
		if r := &f.results[i]; match(r) {
			all++
			if r.status == http.StatusOK {
				good++
			}
		}
	}
	return float64(good) / float64(max(all, 1))
}
