package staging_test

import (
	"context"
	"io"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"medlarslip/internal/coordination/rollout"
	"medlarslip/internal/coordination/staging"
)

// The load on a plain service with three servers whose bad version was promoted.
const (
	smallShare = 0.0975
	smallTime  = 18300 * time.Millisecond
	// smallFailing is the share of the answers that fail with any version.
	smallFailing = 0.053
	// smallIdleTime is the mean time of an answer of an idle server.
	smallIdleTime = 30 * time.Millisecond
	fullRate      = plainRate / plainServers
	rateTime      = time.Second
)

// smallOrder is an order for a version of such a service.
type smallOrder struct {
	allowed float64
	within  time.Duration
	// capacity is the number of requests per second at which a server would be fully used.
	capacity float64
}

// observedOrder is the one under which the bad version was promoted. longOrder allows the longest
// trial; its servers are so loaded that they answer far faster while they have less load.
var (
	observedOrder = smallOrder{smallShare, smallTime, 90}
	longOrder     = smallOrder{allowedShare, 24 * time.Second, 66}
)

// arrivals are the times of the requests that a server received in the last rateTime.
type arrivals []time.Duration

func (a *arrivals) add(at time.Duration) {
	*a = append(*a, at)
	*a = slices.DeleteFunc(*a, func(t time.Duration) bool { return at-t >= rateTime })
}

func (a *arrivals) perSecond() float64 { return float64(len(*a)) / rateTime.Seconds() }

// smallTrial simulates an order for a version of such a service. The time of an answer grows with
// the load of its server. If the version is bad, it fails requests while its server receives more
// than half of its load after the rollout.
type smallTrial struct {
	smallOrder
	fleet    *fleet
	deciders []*staging.Decider
	times    []*rollout.BaselineTimes
	random   *rand.Rand
	bad      bool
	servers  map[string]*[plainServers]arrivals
	answers  []smallAnswer
	// all and exposed are the requests until the deadline, and those of them that the trial
	// sent to the new version.
	all, exposed int
	ended        staging.State
	endedAt      time.Duration
}

type smallAnswer struct {
	ends     time.Duration
	took     time.Duration
	instance int
	staging.Observation
}

func runSmallTrial(order smallOrder, instances int, bad bool, seed uint64) *smallTrial {
	s := &smallTrial{
		smallOrder: order, fleet: newFleetWithExposure(instances, order.allowed), random: rand.New(rand.NewPCG(seed, 67)), bad: bad,
		servers: map[string]*[plainServers]arrivals{oldVersion: {}, newVersion: {}},
	}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	for rank, c := range s.fleet.controllers {
		s.times = append(s.times, rollout.NewBaselineTimes())
		s.deciders = append(s.deciders, &staging.Decider{
			Controller: c, Ready: func() bool { return true }, Rank: func() int { return rank },
			Serving: func(string, string) int { return plainServers }, Agree: s.agree, Log: logrus.NewEntry(logger),
		})
	}
	const warmUp, step = 5 * time.Second, 10 * time.Millisecond
	for at := -warmUp; at < order.within; at += step {
		if at == 0 {
			s.fleet.order(newVersion, order.within)
		}
		s.finish(at)
		for n := poisson(s.random, plainRate*step.Seconds()); n > 0; n-- {
			s.request(at)
		}
		if at%(400*time.Millisecond) == 0 {
			s.fleet.exchange()
		}
		if at%(300*time.Millisecond) == 0 {
			for _, d := range s.deciders {
				staging.Tick(context.Background(), d)
			}
		}
		if s.endedAt == 0 && s.ended != "" {
			s.endedAt = at
		}
		s.fleet.clock.advance(step)
	}
	return s
}

func (s *smallTrial) agree(_ context.Context, status staging.Status, _ staging.Versions) error {
	s.fleet.setStatus(status.Target, status.State)
	if status.State != staging.Running {
		s.ended = status.State
	}
	return nil
}

func (s *smallTrial) request(at time.Duration) {
	i := s.random.IntN(len(s.fleet.controllers))
	stage := s.fleet.controllers[i].Stage(service, s.random.Uint64())
	version, servers := oldVersion, []int{0, 1, 2}
	if stage.Only == newVersion {
		version = newVersion
		servers = slices.DeleteFunc(servers, func(n int) bool {
			return !stage.IncludesServer((float64(n)+0.5)/plainServers, plainServers)
		})
	}
	if at >= 0 {
		s.all++
		if version == newVersion && s.ended == "" {
			s.exposed++
		}
	}
	server := &s.servers[version][servers[s.random.IntN(len(servers))]]
	server.add(at)
	failing := smallFailing
	if s.bad && version == newVersion && server.perSecond() > fullRate/2 {
		failing = overloadFailing
	}
	mean := float64(smallIdleTime) / (1 - min(server.perSecond()/s.capacity, 0.9))
	took := time.Duration(s.random.ExpFloat64() * mean)
	s.answers = append(s.answers, smallAnswer{at + took, took, i, staging.Observation{Service: service, Version: version, Failed: s.random.Float64() < failing}})
}

func (s *smallTrial) finish(at time.Duration) {
	s.answers = slices.DeleteFunc(s.answers, func(a smallAnswer) bool {
		if a.ends > at {
			return false
		}
		if !a.Failed {
			times, atFull := s.times[a.instance], s.fleet.controllers[a.instance].AtFullLoad(service)
			compare := times.Compare
			if atFull {
				compare = times.CompareFixed
			}
			a.Slow, a.AboveMedian, a.Timed = compare(a.took, 1)
			if a.Version == oldVersion && !atFull {
				times.Add(a.took)
			}
		}
		s.fleet.controllers[a.instance].Observe(a.Observation)
		return true
	})
}

// TestVersionsFailingUnderTheLoadOfAServer guards against versions of small services that fail
// only under the load that a server has after the rollout, and are promoted since their trial did
// not reach it; against good versions that are not promoted since the server of the trial carries
// more load than those of the old version; and against trials that exceed the allowed exposure.
func TestVersionsFailingUnderTheLoadOfAServer(t *testing.T) {
	for _, c := range []struct {
		smallOrder
		instances int
		bad       bool
	}{{observedOrder, 1, true}, {observedOrder, 8, true}, {observedOrder, 1, false}, {observedOrder, 8, false}, {longOrder, 1, false}} {
		ended, inTime, most := map[staging.State]int{}, 0, 0.0
		for seed := range uint64(plainSeeds) {
			s := runSmallTrial(c.smallOrder, c.instances, c.bad, seed)
			ended[s.ended]++
			if s.ended == staging.Succeeded && s.endedAt <= c.within {
				inTime++
			}
			allowed := c.allowed*float64(s.all) + trialSlack
			most = max(most, float64(s.exposed)/allowed)
			must.LessEq(t, allowed, float64(s.exposed), must.Sprintf("%+v, seed %d", c, seed))
		}
		t.Logf("%+v: %v, exposure at most %.2f of what is allowed", c, ended, most)
		if c.bad {
			must.LessEq(t, 1, ended[staging.Succeeded])
		} else {
			must.GreaterEq(t, plainSeeds*19, inTime*20)
		}
	}
}
