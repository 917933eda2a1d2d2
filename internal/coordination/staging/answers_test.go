package staging_test

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/coordination/rollout"
	"medlarslip/internal/coordination/staging"
)

var loadSeeds = flag.Uint64("load.seeds", 20, "number of seeds of TestGoodVersionsSucceedInTime; a fifth of them for TestBadVersionsAtLoadAreRolledBack")

// The load and the servers of the previews deployment (docs/heavy-load.md).
const (
	loadExposure    = 0.0975
	loadSessionTime = 8500 * time.Millisecond
	serversOfEach   = 140
	// followRate is the probability that another request of the session follows one.
	followRate = 1.0 / 3
	// escalationRate is the share of the answers of the small model that are discarded in
	// favor of the large one.
	escalationRate = 0.65
	tokensPerMS    = 68.2
	stepMS         = 3.8
	// sharedPrompts is the number of shared prompt parts of each kind of request, used with
	// the frequencies of a Zipf distribution.
	sharedPrompts   = 300
	zipfExponent    = 1.2
	comparedEvents  = 4
	ownerWait       = 30 * time.Millisecond
	lengthDeviation = 0.3
)

const smallModel, largeModel = 0.3, 3.0

// kinds are the kinds of requests to model servers.
var kinds = []struct{ perSecond, prompt, shared float64 }{{102, 6610, 5382}, {107, 628, 198}, {173, 1800, 568}}

// slowness describes how a new version answers too slowly.
type slowness struct {
	// share of the answers take factor times as long, from a time after the order on.
	share, factor float64
	from          time.Duration
	// failed is the share of the answers that fail from that time on.
	failed float64
	// headersOnly is true if the events after the header are not slower.
	headersOnly bool
	// shared is the shared share of all prompts; 0 for that of each kind.
	shared float64
}

// modelServer reads prompts one after the other, and keeps the shared parts that it has read.
type modelServer struct {
	busyUntil time.Time
	cached    map[promptKey]bool
}

type promptKey struct {
	kind, part int
	model      float64
}

// modelCall is one run of a request.
type modelCall struct {
	instance int
	isNew    bool
	stage    staging.Stage
	promptKey
}

// answeringFleet is a fleet whose requests are answered by model servers. Answers are compared
// as in package gateway.
type answeringFleet struct {
	*sessionFleet
	perSecond float64
	slowness  slowness
	zipf      *rand.Zipf
	servers   map[bool][]*modelServer // by whether they run the new version
	headers   []map[[2]float64]*rollout.BaselineTimes
	paces     []map[float64]*rollout.BaselineTimes
	// bad counts the bad answers, limitAt is when it reached badLimit, and usedAt when the
	// new version was last used.
	bad             int
	limitAt, usedAt time.Time
}

func newAnsweringFleet(size int, seed uint64, perSecond float64, s slowness) *answeringFleet {
	f := &answeringFleet{perSecond: perSecond, slowness: s, servers: map[bool][]*modelServer{}}
	f.sessionFleet = startSessionFleet(newFleetWithExposure(size, loadExposure), seed, loadSessionTime, 0)
	f.zipf = rand.NewZipf(f.random, zipfExponent, 3, sharedPrompts-1)
	for range serversOfEach {
		for _, isNew := range []bool{false, true} {
			f.servers[isNew] = append(f.servers[isNew], &modelServer{cached: map[promptKey]bool{}})
		}
	}
	for range size {
		f.headers = append(f.headers, map[[2]float64]*rollout.BaselineTimes{})
		f.paces = append(f.paces, map[float64]*rollout.BaselineTimes{})
	}
	f.arriveSession()
	return f
}

// arriveSession starts sessions at the rate at which all requests together have the rate of
// the fleet.
func (f *answeringFleet) arriveSession() {
	gap := f.random.ExpFloat64() / (f.perSecond * (1 - followRate))
	f.after(time.Duration(gap*float64(time.Second)), f.arriveSession)
	kind, at := 0, f.random.Float64()*(kinds[0].perSecond+kinds[1].perSecond+kinds[2].perSecond)
	for ; at > kinds[kind].perSecond; kind++ {
		at -= kinds[kind].perSecond
	}
	f.requestOf(&client{hash: f.random.Uint64(), first: true}, promptKey{kind: kind, part: int(f.zipf.Uint64()), model: smallModel})
}

func (f *answeringFleet) requestOf(s *client, prompt promptKey) {
	i := f.random.IntN(len(f.controllers))
	c := f.controllers[i]
	beginRequest(c, s.hash)
	call := &modelCall{instance: i, stage: c.Stage(service, s.hash), promptKey: prompt}
	call.isNew = !f.orderedAt.IsZero() && call.stage.Only == newVersion
	f.count(s, i, call.isNew)
	s.onNew, s.first = call.isNew, false
	if call.isNew {
		f.usedAt = f.clock.at
	}
	f.serve(call, func() {
		endRequest(c, s.hash)
		if f.random.Float64() < followRate {
			f.after(f.pause(), func() { f.requestOf(s, prompt) })
		}
	})
}

// choose prefers the owner of a shared part if it is idle, and otherwise the less busy one of
// two servers.
func (f *answeringFleet) choose(call *modelCall) *modelServer {
	all := f.servers[call.isNew]
	var list []*modelServer
	for n, s := range all {
		if !call.isNew || call.stage.IncludesServer((float64(n)+0.5)/serversOfEach, serversOfEach) {
			list = append(list, s)
		}
	}
	owner := list[(call.part*len(kinds)+call.kind)*7919%len(list)]
	if owner.busyUntil.Sub(f.clock.at) <= ownerWait {
		return owner
	}
	a, b := list[f.random.IntN(len(list))], list[f.random.IntN(len(list))]
	if b.busyUntil.Before(a.busyUntil) {
		return b
	}
	return a
}

// serve runs a request at one model, and at the large one if its answer is discarded.
func (f *answeringFleet) serve(call *modelCall, end func()) {
	prompt, slowed := kinds[call.kind], f.slowed(call)
	if f.slowness.shared > 0 {
		prompt.shared = f.slowness.shared * prompt.prompt
	}
	tokens := prompt.prompt * math.Exp(lengthDeviation*f.random.NormFloat64())
	own := tokens * (1 - prompt.shared/prompt.prompt)
	server, read := f.choose(call), tokens
	if server.cached[call.promptKey] {
		read = own
	}
	server.cached[call.promptKey] = true
	server.busyUntil = latestOf(server.busyUntil, f.clock.at).Add(millis(read / tokensPerMS * call.model))
	first := millis(1 + stepMS*call.model*(1+f.random.Float64()))
	header := scaled(server.busyUntil.Sub(f.clock.at)+first, slowed)
	paceSlowed := slowed
	if f.slowness.headersOnly {
		paceSlowed = 1
	}
	pace := scaled(millis(stepMS*call.model*math.Exp(lengthDeviation*f.random.NormFloat64())), paceSlowed)
	o := &staging.Observation{Service: service, Version: map[bool]string{true: newVersion, false: oldVersion}[call.isNew]}
	o.Failed = call.isNew && f.clock.at.Sub(f.orderedAt) >= f.slowness.from && f.random.Float64() < f.slowness.failed
	f.noteBad(slowed > 1 || o.Failed)
	f.after(header, func() {
		f.compare(timesAt(f.headers[call.instance], [2]float64{float64(call.kind), call.model}), o, header, tokens/own)
		if call.model == smallModel && f.random.Float64() < escalationRate {
			f.controllers[call.instance].Observe(*o)
			next := *call
			next.model = largeModel
			f.serve(&next, end)
			return
		}
		f.after(comparedEvents*pace, func() {
			f.compare(timesAt(f.paces[call.instance], call.model), o, pace, 1)
			f.controllers[call.instance].Observe(*o)
			end()
		})
	})
}

// slowed returns how many times longer a call takes because of its version.
func (f *answeringFleet) slowed(call *modelCall) float64 {
	if call.isNew && f.clock.at.Sub(f.orderedAt) >= f.slowness.from && f.random.Float64() < f.slowness.share {
		return f.slowness.factor
	}
	return 1
}

func (f *answeringFleet) noteBad(bad bool) {
	if !bad {
		return
	}
	if f.bad++; f.bad == badLimit {
		f.limitAt = f.clock.at
	}
}

func (f *answeringFleet) compare(times *rollout.BaselineTimes, o *staging.Observation, took time.Duration, cacheFactor float64) {
	if slow, above, known := times.Compare(took, cacheFactor); known {
		o.Timed, o.Slow, o.AboveMedian = true, o.Slow || slow, above
	}
	if o.Version == oldVersion {
		times.Add(took)
	}
}

func timesAt[K comparable](all map[K]*rollout.BaselineTimes, key K) *rollout.BaselineTimes {
	if all[key] == nil {
		all[key] = rollout.NewBaselineTimes()
	}
	return all[key]
}

func millis(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }

func scaled(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }

func latestOf(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// runLoad runs an order at the load of one seed: sizes and rates alternate. The servers of the
// old version have cached most shared parts by the time of the order.
func runLoad(seed uint64, s slowness) *answeringFleet {
	size, perSecond := []int{66, 73}[seed%2], []float64{300, 375, 450}[seed%3]
	f := newAnsweringFleet(size, seed, perSecond, s)
	f.orderAfter(warmUp)
	f.runUntil(f.orderedAt.Add(sessionOrderTime))
	return f
}

func (f *answeringFleet) state() staging.State { return f.controllers[0].Statuses()[service].State }

// describe returns the outcome of the order, and times after it.
func (f *answeringFleet) describe() string {
	return fmt.Sprintf("%v; %d of %d requests on the new version, the last at %.1f s; 50 bad at %.1f s", f.state(), f.exposed, f.requests,
		f.usedAt.Sub(f.orderedAt).Seconds(), max(f.limitAt.Sub(f.orderedAt).Seconds(), 0))
}

// TestGoodVersionsSucceedInTime guards against good versions that are rolled back or stay
// undecided because the few servers of a trial have not cached the shared parts of prompts.
func TestGoodVersionsSucceedInTime(t *testing.T) {
	succeeded, moved := uint64(0), 0
	for seed := range *loadSeeds {
		f := runLoad(seed, slowness{})
		t.Logf("seed %d: %s", seed, f.describe())
		if f.state() == staging.Succeeded {
			succeeded++
			moved += f.toNew + f.toOld
		}
	}
	must.GreaterEq(t, *loadSeeds*19/20, succeeded)
	must.Zero(t, moved)
}

// TestBadVersionsAtLoadAreRolledBack guards against bad versions whose slow answers are
// attributed to caches, so that they succeed or exceed their exposure.
func TestBadVersionsAtLoadAreRolledBack(t *testing.T) {
	underLoad := sessionOrderTime * 55 / 100
	for name, s := range map[string]slowness{
		"half take four times as long":             {share: 0.5, factor: 4},
		"half take eight times as long":            {share: 0.5, factor: 8},
		"a quarter take four times as long":        {share: 0.25, factor: 4},
		"all take twice as long":                   {share: 1, factor: 2},
		"half take four times as long, under load": {share: 0.5, factor: 4, from: underLoad},
		"two fifths fail under load":               {failed: 0.4, from: underLoad},
		"a fifth fails":                            {failed: 0.2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range *loadSeeds / 5 {
				f := runLoad(seed, s)
				t.Logf("seed %d: %s", seed, f.describe())
				must.Eq(t, staging.RolledBack, f.state())
				must.LessEq(t, loadExposure*float64(f.requests)+trialSlack, float64(f.exposed))
				if !f.limitAt.IsZero() {
					must.LessEq(t, badTime, f.usedAt.Sub(f.limitAt))
				}
			}
		})
	}
}

// TestVersionsThatAreSlowUpToTheHeader guards against a version whose late headers are attributed to
// caches because most of each prompt is shared, and against good versions that are rolled back at
// the same prompts.
func TestVersionsThatAreSlowUpToTheHeader(t *testing.T) {
	for name, tc := range map[string]struct {
		slowness
		want staging.State
	}{
		"good":                                     {slowness{shared: 0.85}, staging.Succeeded},
		"all headers take twice as long":           {slowness{shared: 0.85, share: 1, factor: 2, headersOnly: true}, staging.RolledBack},
		"all headers take four times as long":      {slowness{shared: 0.85, share: 1, factor: 4, headersOnly: true}, staging.RolledBack},
		"half the headers take four times as long": {slowness{shared: 0.85, share: 0.5, factor: 4, headersOnly: true}, staging.RolledBack},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range *loadSeeds / 5 {
				f := runLoad(seed, tc.slowness)
				t.Logf("seed %d: %s", seed, f.describe())
				must.Eq(t, tc.want, f.state())
				if !f.limitAt.IsZero() {
					must.LessEq(t, badTime, f.usedAt.Sub(f.limitAt))
				}
			}
		})
	}
}
