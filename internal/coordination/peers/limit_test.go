package peers_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/coordination/fleetlimit"
)

// The bound of the platform for a server that states a rate limit: in any limitWindow
// it receives at most limitOvershoot times what the limit allows, and limitSlack.
const (
	limitWindow    = 4 * time.Second
	limitOvershoot = 1.5
	limitSlack     = 5
	// limitSettled is the time after the first statement from which the bound holds.
	limitSettled = 3 * time.Second
	// toldMargin is the time after its first answer with a limit from which an
	// instance must respect it.
	toldMargin = 500 * time.Millisecond
	// answerTime is the mean time to the header of an answer.
	answerTime = 150 * time.Millisecond
	serverID   = "server-1"
)

// arrival is a request that a server received.
type arrival struct {
	at   time.Time
	from *member
}

// limitedServer is a backend server that states a rate limit.
type limitedServer struct {
	mu       sync.Mutex
	random   *rand.Rand
	limit    fleetlimit.Limit
	changes  []limitChange
	arrivals []arrival
	// toldAt is when each member first received an answer with a limit.
	toldAt map[*member]time.Time
	// excused maps members that had a fault to the time from which the bound holds
	// for them again.
	excused map[*member][]fault
	// waits are the times for which requests waited for a permit that they got.
	waits []time.Duration
}

type fault struct{ from, to time.Time }

type limitChange struct {
	at    time.Time
	limit fleetlimit.Limit
}

func newLimitedServer(seed uint64) *limitedServer {
	return &limitedServer{random: rand.New(rand.NewPCG(seed, 7)), toldAt: map[*member]time.Time{}, excused: map[*member][]fault{}}
}

// state sets the limit; a negative one ends it.
func (s *limitedServer) state(perSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = fleetlimit.Limit{}
	if perSecond >= 0 {
		s.limit = fleetlimit.Limit{Stated: true, PerSecond: perSecond}
	} else {
		clear(s.toldAt)
	}
	s.changes = append(s.changes, limitChange{time.Now(), s.limit})
}

// serve handles one request of a member: it arrives, and is answered later with the
// limit in force then.
func (s *limitedServer) serve(m *member) {
	limiter, sentAt := m.limiter, virtualClock()
	time.Sleep(delay)
	s.mu.Lock()
	s.arrivals = append(s.arrivals, arrival{time.Now(), m})
	took := time.Duration(s.random.ExpFloat64() * float64(answerTime))
	s.mu.Unlock()
	time.Sleep(took)
	s.mu.Lock()
	limit := s.limit
	if _, told := s.toldAt[m]; limit.Stated && !told {
		s.toldAt[m] = time.Now()
	}
	s.mu.Unlock()
	time.Sleep(delay)
	limiter.Observe(serverID, limit, sentAt)
}

// load sends requests of all members until the returned function is called. Each one
// sends on average perSecond requests per second, if it gets permits.
func (s *limitedServer) load(f *fleet, members []*member, perSecond float64) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for i, m := range members {
		random := rand.New(rand.NewPCG(uint64(i), 11))
		group.Go(func() {
			for {
				pause := time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
				select {
				case <-ctx.Done():
					return
				case <-time.After(pause):
				}
				f.network.awaitResumed(m.self.PeerAddress)
				began := time.Now()
				permit, ok := m.limiter.Acquire(ctx, serverID)
				if ok && !permit.Unlimited() {
					s.recordWait(time.Since(began))
				}
				f.network.awaitResumed(m.self.PeerAddress)
				if ok && !permit.Expired(virtualClock()) {
					group.Go(func() { s.serve(m) })
				}
			}
		})
	}
	stop = sync.OnceFunc(func() {
		cancel()
		group.Wait()
	})
	f.loads = append(f.loads, stop)
	return stop
}

// excuse excuses a member for a fault and the time to find the fleet again.
func (s *limitedServer) excuse(m *member, lasts time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.excused[m] = append(s.excused[m], fault{now, now.Add(lasts + limitSettled)})
}

func (s *limitedServer) isExcused(a arrival) bool {
	return slices.ContainsFunc(s.excused[a.from], func(f fault) bool { return !a.at.Before(f.from) && a.at.Before(f.to) })
}

// allowed returns how many requests may arrive in the window that ends at a time: what
// the highest limit in it allows. It returns false while there is no bound.
func (s *limitedServer) allowed(end time.Time) (most int, bounded bool) {
	var highest float64
	var firstStated time.Time
	for i, change := range s.changes {
		if change.at.After(end) {
			break
		}
		if !change.limit.Stated {
			firstStated = time.Time{}
		} else if firstStated.IsZero() {
			firstStated = change.at
		}
		replacedBeforeWindow := i+1 < len(s.changes) && s.changes[i+1].at.Before(end.Add(-limitWindow-toldMargin))
		if change.limit.Stated && !replacedBeforeWindow {
			highest = max(highest, change.limit.PerSecond)
		}
	}
	if firstStated.IsZero() || end.Sub(firstStated) < limitSettled {
		return 0, false
	}
	return int(limitOvershoot*highest*limitWindow.Seconds()) + limitSlack, true
}

// check fails the test if the server received more than its limit allows from the
// members that knew of it. It also counts those that knew only from their peers once
// the limit has been stated for limitSettled.
func (s *limitedServer) check(t *testing.T) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	var window []arrival
	for _, a := range s.arrivals {
		told, ok := s.toldAt[a.from]
		known := ok && a.at.Sub(told) >= toldMargin
		if _, settled := s.allowed(a.at); (!known && !settled) || s.isExcused(a) {
			continue
		}
		window = append(window, a)
		for a.at.Sub(window[0].at) > limitWindow {
			window = window[1:]
		}
		if most, bounded := s.allowed(a.at); bounded && len(window) > most {
			t.Fatalf("%d requests in %v, allowed %d, at %v after the first statement", len(window), limitWindow, most, a.at.Sub(s.changes[0].at))
		}
	}
}

// rate returns the requests per second that arrived within the latest time.
func (s *limitedServer) rate(within time.Duration) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, a := range s.arrivals {
		if time.Since(a.at) <= within {
			count++
		}
	}
	return float64(count) / within.Seconds()
}

func (s *limitedServer) recordWait(wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waits = append(s.waits, wait)
}

// waitQuantile returns a quantile of the times that requests waited for their permits.
func (s *limitedServer) waitQuantile(share float64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	slices.Sort(s.waits)
	if len(s.waits) == 0 {
		return 0
	}
	return s.waits[int(share*float64(len(s.waits)-1))]
}

var limitSizes = flag.String("limit.sizes", "8,24", "numbers of instances in the tests of rate limits under faults")

// parseSizes parses the sizes of fleets that a flag lists.
func parseSizes(t *testing.T, list string) []int {
	t.Helper()
	var sizes []int
	for text := range strings.SplitSeq(list, ",") {
		size, err := strconv.Atoi(text)
		must.NoError(t, err)
		sizes = append(sizes, size)
	}
	return sizes
}

// perInstance returns the requests per second of each of some instances that together
// send total.
func perInstance(total float64, size int) float64 { return total / float64(size) }

// TestFleetKeepsTheRateLimitOfAServer guards against a limit that each instance applies
// by itself: fleets of all sizes keep it together, also if it is far below one request
// per instance, while it is lowered, raised, ended and stated again.
func TestFleetKeepsTheRateLimitOfAServer(t *testing.T) {
	const demand = 60
	for size, limits := range map[int][]float64{1: {0.4, 12}, 8: {0, 0.4, 2.5, 12}, 60: {2.5}} {
		for _, limit := range limits {
			t.Run(fmt.Sprintf("%d instances, %v a second", size, limit), inFleet(size, func(f *fleet) {
				s := newLimitedServer(uint64(size))
				stop := s.load(f, f.members, perInstance(demand, size))
				time.Sleep(2 * time.Second)
				s.state(limit)
				time.Sleep(20 * time.Second)
				used := s.rate(12 * time.Second)
				f.t.Logf("%d instances: %.2f requests a second of %v; wait for a permit: median %v, 99th percentile %v",
					size, used, limit, s.waitQuantile(0.5), s.waitQuantile(0.99))
				must.GreaterEq(f.t, 0.7*limit, used, must.Sprint("the server is used far below its limit"))
				s.state(limit / 3)
				time.Sleep(15 * time.Second)
				s.state(limit * 2)
				time.Sleep(20 * time.Second)
				must.GreaterEq(f.t, 0.7*2*limit, s.rate(8*time.Second), must.Sprint("the raised limit is not used"))
				s.state(-1)
				time.Sleep(25 * time.Second)
				must.GreaterEq(f.t, 0.7*demand, s.rate(5*time.Second), must.Sprint("the server is not used after its limit ended"))
				s.state(limit)
				time.Sleep(15 * time.Second)
				stop()
				s.check(f.t)
			}))
		}
	}
}

// TestLargeFleetKeepsTheRateLimitOfAServer: the same with 300 instances that all learn
// the limit at once. The traffic of an instance stays within its bound meanwhile.
func TestLargeFleetKeepsTheRateLimitOfAServer(t *testing.T) {
	const size, limit, demand = 300, 2.5, 300
	inFleet(size, func(f *fleet) {
		s := newLimitedServer(size)
		s.state(limit)
		stop := s.load(f, f.members, perInstance(demand, size))
		time.Sleep(4 * time.Second)
		median, busiest := f.traffic()
		f.t.Logf("median %d B/s, maximum %d B/s, coordinator %d B/s", median, busiest, f.bytes()[slices.Index(f.members, coordinatorOf(f))]/5)
		must.LessEq(f.t, maxControlBytes, median)
		must.GreaterEq(f.t, 0.7*limit, s.rate(5*time.Second))
		stop()
		s.check(f.t)
	})(t)
}

// TestFewInstancesUseTheWholeLimit: what is not used by some instances is available to
// the others, and instances that never asked the server know its limit.
func TestFewInstancesUseTheWholeLimit(t *testing.T) {
	const limit = 4
	for _, size := range parseSizes(t, *limitSizes) {
		t.Run(fmt.Sprint(size), inFleet(size, func(f *fleet) {
			s := newLimitedServer(uint64(size))
			s.state(limit)
			stop := s.load(f, f.members[size/2:size/2+2], 10)
			time.Sleep(15 * time.Second)
			must.GreaterEq(f.t, 0.7*limit, s.rate(10*time.Second))
			stopOthers := s.load(f, f.members, perInstance(30, size))
			time.Sleep(10 * time.Second)
			stop()
			stopOthers()
			s.check(f.t)
			for _, m := range f.members {
				must.True(f.t, m.limiter.Limited(serverID))
			}
		}))
	}
}

// coordinatorOf returns the member that coordinates the server.
func coordinatorOf(f *fleet) *member {
	name := f.members[0].table.Coordinator(serverID)
	return f.members[slices.IndexFunc(f.members, func(m *member) bool { return m.self.Name == name })]
}

// TestRateLimitHoldsWhileInstancesFail: the limit holds while the coordinator is killed,
// restarted or suspended, while the fleet is partitioned, and while all instances are
// restarted. Instances without a fault of their own are not excused.
func TestRateLimitHoldsWhileInstancesFail(t *testing.T) {
	const limit, demand = 5, 60
	faults := map[string]func(f *fleet, s *limitedServer){
		"coordinator killed and restarted": func(f *fleet, s *limitedServer) {
			m := coordinatorOf(f)
			s.excuse(m, 6*time.Second)
			members := slices.Clone(f.members)
			f.kill(m)
			time.Sleep(6 * time.Second)
			f.members = members
			m.self.Run = "2"
			f.start(m)
		},
		"coordinator suspended": func(f *fleet, s *limitedServer) {
			m := coordinatorOf(f)
			s.excuse(m, 5*time.Second)
			f.network.suspend(m.self.PeerAddress, 5*time.Second)
		},
		"coordinator suspended shortly": func(f *fleet, s *limitedServer) {
			m := coordinatorOf(f)
			s.excuse(m, time.Second)
			f.network.suspend(m.self.PeerAddress, time.Second)
		},
		"partition": func(f *fleet, _ *limitedServer) {
			f.network.mu.Lock()
			for i, m := range f.members {
				f.network.partition[m.self.PeerAddress] = i % 2
			}
			f.network.mu.Unlock()
			time.Sleep(12 * time.Second)
			f.network.mu.Lock()
			clear(f.network.partition)
			f.network.mu.Unlock()
		},
		"coordinator cut off from half of the instances": func(f *fleet, _ *limitedServer) {
			coordinator, half := coordinatorOf(f).self.PeerAddress, map[string]bool{}
			for i, m := range f.members {
				half[m.self.PeerAddress] = i%2 == 0
			}
			f.network.mu.Lock()
			defer f.network.mu.Unlock()
			f.network.cut = func(from, to string) bool {
				return (from == coordinator && half[to]) || (to == coordinator && half[from])
			}
		},
		"all restarted": func(f *fleet, s *limitedServer) {
			members := slices.Clone(f.members)
			for _, m := range members {
				s.excuse(m, 0)
			}
			f.kill(members...)
			f.members = members
			for _, m := range f.members {
				m.self.Run = "2"
				f.start(m)
			}
		},
		"coordinator leaves": func(f *fleet, _ *limitedServer) {
			m := coordinatorOf(f)
			f.network.mu.Lock()
			m.self.Leaving, m.self.Ready = true, false
			f.network.mu.Unlock()
		},
	}
	for _, size := range parseSizes(t, *limitSizes) {
		for name, inject := range faults {
			t.Run(fmt.Sprintf("%d instances, %s", size, name), inFleet(size, func(f *fleet) {
				s := newLimitedServer(uint64(size))
				s.state(limit)
				stop := s.load(f, slices.Clone(f.members), perInstance(demand, size))
				time.Sleep(8 * time.Second)
				inject(f, s)
				time.Sleep(20 * time.Second)
				used := s.rate(8 * time.Second)
				f.t.Logf("%.2f requests a second of %d after the fault", used, limit)
				stop()
				s.check(f.t)
				must.GreaterEq(f.t, 0.7*limit, used)
			}))
		}
	}
}
