package replay

import (
	"slices"
	"time"

	"medlarslip/internal/coordination/cascade"
	"medlarslip/internal/coordination/dispatch"
	"medlarslip/internal/coordination/rollout"
	"medlarslip/internal/coordination/routing"
	"medlarslip/internal/state/backends"
)

// maxTries limits the attempts of one step.
const maxTries = 3

// flow is the state of one request through the steps of its plan.
type flow struct {
	w        *world
	e        *entry
	request  *Request
	arrived  time.Time
	deadline time.Time
	feasible bool
	plan     *cascade.Plan
	step     int
	tries    int
	exclude  []string
	micros   int64
	best     *Answer
	done     bool
}

// attempt is one call to a server.
type attempt struct {
	// number is the position of the call among all calls of the replay.
	number  int
	f       *flow
	s       *server
	backend *backends.Backend
	began   time.Time
	ended   bool
}

func (w *world) arrive(request *Request) {
	f := &flow{w: w, e: w.entries[w.random.IntN(len(w.entries))], request: request, arrived: w.now}
	kind := w.index.Kind(request.Kind)
	total := time.Duration(kind.TotalMillis) * time.Millisecond
	f.deadline = w.now.Add(total)
	f.feasible = w.feasible(request, total)
	w.report.countArrival(f)
	plan, refused := cascade.NewPlan(w.index, &cascade.Request{
		Account: w.index.Account(request.Account), Kind: kind, Model: request.Model, RequestID: request.ID, SessionID: request.Session,
		Session: w.sessions[request.Session], RatingDown: f.e.ratings.Down(w.now), Remaining: total, Halted: f.halted, Learner: f.e.learner,
	})
	if refused != nil {
		f.end(nil)
		return
	}
	if w.policy.steps != nil {
		plan.Steps = nil
		for _, option := range w.policy.steps(plan.Options) {
			plan.Steps = append(plan.Steps, option.Step)
		}
	}
	f.plan = plan
	f.try()
}

func (f *flow) halted(rolloutID string) bool {
	if f.w.policy.halts != nil {
		return f.w.fixedHalt
	}
	return f.e.monitor.Halted(rolloutID)
}

// feasible reports whether some server that is up could answer within total.
func (w *world) feasible(request *Request, total time.Duration) bool {
	for _, answer := range request.Answers {
		if time.Duration(answer.Millis)*time.Millisecond > total {
			continue
		}
		for _, s := range w.servers {
			if !s.down && slices.Contains(s.Serves, answer.VersionID) {
				return true
			}
		}
	}
	return false
}

// try sends the current step to a server. It refuses the request if the
// remaining time is too short, the attempts are used up or no server is
// available.
func (f *flow) try() {
	step := f.plan.Steps[f.step]
	remaining := f.deadline.Sub(f.w.now)
	tooLate := remaining <= 0 || f.w.policy.steps == nil && remaining < f.plan.ExpectedDuration(f.step)
	if tooLate || f.tries >= maxTries {
		f.end(nil)
		return
	}
	f.tries++
	servers := backends.List(f.e.table.Serving(step.VersionID))
	decision := routing.Decide(&routing.Request{
		Target: step.VersionID, FailureDomain: f.e.domain, Now: f.w.now, Remaining: remaining, Entries: len(f.w.entries), Exclude: f.exclude,
		DomainOut: f.w.index.DomainOut,
		ColdBound: func(s *backends.Snapshot) int { return f.w.coldBound(s) },
	}, servers, f.w.random)
	chosen := f.choose(&decision)
	if chosen == nil {
		f.end(nil)
		return
	}
	backend := servers[chosen.Index]
	backend.Begin(chosen.Bound)
	f.w.checkSend(f, step.VersionID, &chosen.Server)
	f.send(backend, f.w.servers[chosen.Server.Server.ID])
}

func (f *flow) choose(decision *routing.Decision) *routing.Candidate {
	if f.w.policy.route == nil {
		return decision.Chosen()
	}
	left := slices.DeleteFunc(slices.Clone(decision.Candidates), func(c routing.Candidate) bool { return c.Dropped != "" })
	if len(left) == 0 {
		return nil
	}
	return &left[f.w.policy.route(f.e, left)]
}

// send starts the call, or queues it until the server has a free slot.
func (f *flow) send(backend *backends.Backend, s *server) {
	f.w.attempts++
	a := &attempt{number: f.w.attempts, f: f, s: s, backend: backend, began: f.w.now}
	if s.down {
		f.w.after(time.Millisecond, a.fail)
		return
	}
	s.calls[a] = true
	if s.running >= s.Slots {
		s.waiting = append(s.waiting, a.start)
		return
	}
	a.start()
}

func (a *attempt) start() {
	a.s.running++
	a.f.w.after(time.Duration(a.f.answer().Millis)*time.Millisecond, a.finish)
}

// fail ends a call to a server that is down, and tries another server.
func (a *attempt) fail() {
	if a.ended {
		return
	}
	a.ended = true
	a.backend.Settle(a.f.w.now, a.f.w.now.Sub(a.began), backends.CallFailed)
	a.f.exclude = append(a.f.exclude, a.s.ID)
	a.f.try()
}

func (a *attempt) finish() {
	if a.ended {
		return
	}
	a.ended = true
	f, w := a.f, a.f.w
	delete(a.s.calls, a)
	a.s.running--
	a.s.answered++
	if len(a.s.waiting) > 0 {
		next := a.s.waiting[0]
		a.s.waiting = a.s.waiting[1:]
		next()
	}
	took := w.now.Sub(a.began)
	a.backend.Settle(w.now, took, backends.CallGood)
	version := f.answer().VersionID
	f.micros += f.request.Tokens * w.index.Version(version).MicrosPerThousandTokens / 1000
	f.e.learner.ObserveDuration(f.request.Kind, version, took)
	f.evaluate(took)
}

// answer returns the recorded answer of the current step's version.
func (f *flow) answer() *Answer {
	id := f.plan.Steps[f.step].VersionID
	at := slices.IndexFunc(f.request.Answers, func(a Answer) bool { return a.VersionID == id })
	return &f.request.Answers[at]
}

// evaluate rates the answer if the plan requires it, as package dispatch does,
// and then completes the request or continues with the next step.
func (f *flow) evaluate(took time.Duration) {
	last := f.step == len(f.plan.Steps)-1
	mustRate := f.plan.MustRate(f.step, f.request.ID)
	if f.w.policy.steps != nil {
		mustRate = !last
	}
	if f.w.ratingsDown && mustRate {
		f.e.ratings.ObserveMissing(f.w.now)
		mustRate = false
		if !last {
			f.next()
			return
		}
	}
	sample := f.sample(took)
	if !mustRate {
		f.e.monitor.Observe(sample)
		f.end(f.answer())
		return
	}
	f.w.after(time.Duration(f.w.trace.Header.RatingMillis)*time.Millisecond, func() {
		f.applyRating(sample)
		f.e.monitor.Observe(sample)
		f.w.checkFixedHalt(sample)
		if sample.Accepted {
			f.end(f.answer())
			return
		}
		if f.best == nil || f.answer().Rating >= f.best.Rating {
			f.best = f.answer()
		}
		if last {
			f.end(f.best)
			return
		}
		f.next()
	})
}

func (f *flow) next() {
	f.step++
	f.tries, f.exclude = 0, nil
	f.try()
}

func (f *flow) sample(took time.Duration) *dispatch.Sample {
	step := f.plan.Steps[f.step]
	return &dispatch.Sample{Account: f.request.Account, Kind: f.request.Kind, Model: step.Model, VersionID: step.VersionID, Rollout: step.Rollout, Took: took}
}

func (f *flow) applyRating(sample *dispatch.Sample) {
	answer := f.answer()
	sample.Rated, sample.Rating, sample.Accepted = true, answer.Rating, answer.Rating >= f.plan.QualityTarget
	f.e.ratings.ObserveRating()
	f.e.learner.ObserveRating(cascade.Key{Cascade: f.request.Model, Kind: f.request.Kind, VersionID: answer.VersionID, Account: f.request.Account, Escalated: f.step > 0}, sample.Accepted)
	if f.plan.Strongest(f.step) {
		f.e.ratings.ObserveStrongest(sample.Accepted, cascade.Prior(f.w.index.Version(answer.VersionID).Quality, f.plan.QualityTarget))
	}
}

// checkFixedHalt applies the halt rule of a policy to the counts of all
// instances, without propagation delay.
func (w *world) checkFixedHalt(sample *dispatch.Sample) {
	if w.policy.halts == nil || sample.Rollout == "" || w.fixedHalt {
		return
	}
	var oldArm, newArm rollout.Counts
	for _, e := range w.entries {
		for _, status := range e.monitor.Statuses(func(string) int { return 1 }) {
			oldArm, newArm = maxRated(oldArm, status.Old), maxRated(newArm, status.New)
		}
	}
	w.fixedHalt = w.policy.halts(oldArm, newArm)
}

func maxRated(a, b rollout.Counts) rollout.Counts {
	if b.Rated > a.Rated {
		return b
	}
	return a
}
