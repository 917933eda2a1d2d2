package staging_test

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/coordination/rollout"
	"medlarslip/internal/coordination/staging"
)

var (
	sessionSeeds = flag.Uint64("sessions.seeds", 2, "number of seeds of TestSessionsKeepTheirVersion")
	sessionFirst = flag.Uint64("sessions.first", 0, "first seed of TestSessionsKeepTheirVersion")
	sessionSizes = flag.String("sessions.sizes", "1,8,60", "sizes of the fleets of TestSessionsKeepTheirVersion; 300 takes several seconds a seed")
)

// The exchange of datagrams in fleets of up to smallFleet peers and in larger ones is that
// of package peers.
const (
	smallFleet   = 20
	leaders      = 2
	interval     = 400 * time.Millisecond
	pollInterval = 800 * time.Millisecond
	lossRate     = 0.01
)

const (
	sessionOrderTime = 24 * time.Second
	// warmUp is the time before the order, and observedAfter the time that is observed
	// after its deadline.
	warmUp        = 20 * time.Second
	observedAfter = 3 * time.Second
	// sessionsPerInstance and minSessions are the numbers of sessions at the same time, for
	// each instance and in all.
	sessionsPerInstance = 8
	minSessions         = 400
	// minPause is the shortest pause between two requests of a session.
	minPause = 100 * time.Millisecond
)

// maxAtTakeover is the number of sessions that may go back while a takeover becomes known: three
// requests a day are allowed to. It is checked in fleets of up to maxTakeoverSize instances.
const (
	maxAtTakeover   = 3
	maxTakeoverSize = 60
)

type timedCall struct {
	at  time.Time
	run func()
}

type eventQueue []timedCall

func (e eventQueue) Len() int           { return len(e) }
func (e eventQueue) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e eventQueue) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)        { *e = append(*e, x.(timedCall)) }
func (e *eventQueue) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// client is a session of which one request follows the other.
type client struct {
	hash  uint64
	left  int
	onNew bool
	// first is true before the first request.
	first bool
}

// sessionFleet simulates a fleet that serves sessions while an order is in progress.
type sessionFleet struct {
	*fleet
	random      *rand.Rand
	queue       eventQueue
	sessionTime time.Duration
	began       time.Time
	orderedAt   time.Time
	agreedAt    time.Time
	pending     [][]time.Time
	// echo holds, for each instance and leader, the last relayed use in the latest datagram that
	// has arrived, 0 for one that was no reply, and acknowledged what the leader knows of that.
	echo, acknowledged [][]uint64
	// toNew counts requests that moved to the new version in the first half of the
	// rollout, toOld those that moved back before the takeover was agreed, and
	// atTakeover those that moved back while it became known.
	toNew, toOld, atTakeover int
	// toNewLate counts requests that moved to the new version in its second half.
	toNewLate         int
	requests, exposed int
	log               []string
}

func newSessionFleet(size int, seed uint64, sessionTime time.Duration) *sessionFleet {
	return startSessionFleet(newFleet(size), seed, sessionTime, max(sessionsPerInstance, minSessions/size))
}

// startSessionFleet starts the exchange of datagrams in a fleet, and the given number of
// sessions for each instance.
func startSessionFleet(instances *fleet, seed uint64, sessionTime time.Duration, sessions int) *sessionFleet {
	size := len(instances.controllers)
	f := &sessionFleet{fleet: instances, random: rand.New(rand.NewPCG(seed, uint64(size))), sessionTime: sessionTime}
	f.began = f.clock.at
	f.pending = make([][]time.Time, size)
	f.echo, f.acknowledged = make([][]uint64, size), make([][]uint64, size)
	for i := range size {
		f.pending[i] = make([]time.Time, leaders)
		f.echo[i], f.acknowledged[i] = make([]uint64, leaders), make([]uint64, leaders)
		setTimes(f.controllers[i], sessionTime)
		onUrgentUse(f.controllers[i], func() { f.announce(i) })
		f.controllers[i].ObserveVersions(service, []string{oldVersion})
		f.after(f.upTo(interval), func() { f.round(i, 0) })
		for range sessions {
			f.after(f.upTo(time.Second), func() { f.arrive() })
		}
	}
	return f
}

func (f *sessionFleet) after(d time.Duration, run func()) {
	heap.Push(&f.queue, timedCall{at: f.clock.at.Add(d), run: run})
}

func (f *sessionFleet) upTo(d time.Duration) time.Duration {
	return time.Duration(f.random.Int64N(int64(d)))
}

// exponential draws a time with a mean, at most limit.
func (f *sessionFleet) exponential(mean, limit time.Duration) time.Duration {
	return min(time.Duration(f.random.ExpFloat64()*float64(mean)), limit)
}

func (f *sessionFleet) runUntil(end time.Time) {
	for len(f.queue) > 0 && !f.queue[0].at.After(end) {
		next := heap.Pop(&f.queue).(timedCall)
		f.clock.at = next.at
		next.run()
	}
	f.clock.at = end
}

func (f *sessionFleet) large() bool { return len(f.controllers) > smallFleet+1 }

func (f *sessionFleet) leads(i int) bool { return i < leaders }

func (f *sessionFleet) transit() time.Duration {
	return time.Millisecond + f.exponential(15*time.Millisecond, 150*time.Millisecond)
}

// send sends a datagram, which is lost at times.
func (f *sessionFleet) send(from, to int, received func()) {
	c := f.controllers[from]
	f.sendMessage(from, to, exportSessions(c, f.leads(from)), c.Export(), received)
}

func (f *sessionFleet) sendMessage(from, to int, sessions sessionMessage, counts []rollout.ArmCounts, received func()) {
	if f.random.Float64() < lossRate {
		return
	}
	f.after(f.transit(), func() {
		f.merge(from, to, sessions, counts)
		if received != nil {
			received()
		}
	})
}

func (f *sessionFleet) merge(from, to int, sessions sessionMessage, counts []rollout.ArmCounts) {
	mergeSessions(f.controllers[to], sessions)
	f.controllers[to].Merge(strconv.Itoa(from), counts)
}

// round sends the datagrams of one interval of an instance.
func (f *sessionFleet) round(i, n int) {
	f.after(interval, func() { f.round(i, n+1) })
	if !f.large() {
		for to := range f.controllers {
			if to != i {
				f.send(i, to, nil)
			}
		}
		return
	}
	for leader := range leaders {
		// Leaders poll each other in every round; an unanswered request is repeated.
		unanswered := !f.pending[i][leader].IsZero()
		if leader == i || (!f.leads(i) && n%int(pollInterval/interval) != 0 && !unanswered) {
			continue
		}
		f.pending[i][leader] = f.clock.at
		echoed := f.echo[i][leader]
		f.send(i, leader, func() {
			f.acknowledged[i][leader] = max(f.acknowledged[i][leader], echoed)
			f.reply(leader, i)
		})
	}
}

// reply sends what a leader relays, without what the receiver has acknowledged.
func (f *sessionFleet) reply(leader, to int) {
	c := f.controllers[leader]
	report := exportSessions(c, true)
	var last uint64
	report.Relayed, last = c.RelayedAfter(f.acknowledged[to][leader])
	f.sendMessage(leader, to, report, c.Export(), func() {
		f.pending[to][leader] = time.Time{}
		f.echo[to][leader] = last
	})
}

// announce sends a datagram at once: to the leaders, or to all others if the instance leads
// or the fleet is small.
func (f *sessionFleet) announce(i int) {
	f.after(0, func() {
		for to := range f.controllers {
			if to != i && (to < leaders || f.leads(i) || !f.large()) {
				f.sendMessage(i, to, exportUrgent(f.controllers[i], f.leads(i)), nil, func() {
					if f.leads(i) {
						f.echo[to][i] = 0
					}
				})
			}
		}
	})
}

// spread applies a record of the store at all instances: a leader reads it and announces it,
// and instances that miss the datagram learn of it from the next ones.
func (f *sessionFleet) spread(apply func(c *staging.Controller)) {
	read := f.upTo(100 * time.Millisecond)
	for i, c := range f.controllers {
		at := read
		if i > 0 {
			at += f.transit() + 2*f.transit()
			for f.random.Float64() < lossRate {
				at += interval + f.upTo(interval)
			}
		}
		f.after(at, func() { apply(c) })
	}
}

// arrive starts a session, and the next one when it ends.
func (f *sessionFleet) arrive() {
	f.request(&client{hash: f.random.Uint64(), left: 1 + f.random.IntN(30), first: true})
}

// request serves a request of a session at a random instance.
func (f *sessionFleet) request(s *client) {
	i := f.random.IntN(len(f.controllers))
	c := f.controllers[i]
	beginRequest(c, s.hash)
	isNew := f.clock.at.After(f.orderedAt) && c.Stage(service, s.hash).Only == newVersion
	if f.orderedAt.IsZero() {
		c.Stage(service, s.hash)
		isNew = false
	}
	f.count(s, i, isNew)
	s.onNew, s.first = isNew, false
	c.Observe(staging.Observation{Service: service, Version: map[bool]string{true: newVersion, false: oldVersion}[isNew], Timed: true})
	took := 20*time.Millisecond + f.exponential(300*time.Millisecond, 2*time.Second)
	if f.random.IntN(20) == 0 {
		took = f.upTo(15 * time.Second)
	}
	f.after(took, func() {
		endRequest(c, s.hash)
		if s.left--; s.left <= 0 {
			f.arrive()
			return
		}
		f.after(f.pause(), func() { f.request(s) })
	})
}

// pause draws a pause, up to the longest of a session.
func (f *sessionFleet) pause() time.Duration {
	longest := f.sessionTime - 50*time.Millisecond
	switch f.random.IntN(10) {
	case 0:
		return longest - f.upTo(time.Second)
	case 1, 2:
		return minPause + f.upTo(longest-minPause)
	}
	return min(minPause+f.exponential(700*time.Millisecond, longest), longest)
}

func (f *sessionFleet) count(s *client, i int, isNew bool) {
	if f.orderedAt.IsZero() {
		return
	}
	at := f.clock.at.Sub(f.orderedAt)
	if f.agreedAt.IsZero() {
		f.requests++
		if isNew {
			f.exposed++
		}
	}
	fault := ""
	switch {
	case s.first || s.onNew == isNew:
		return
	case isNew && at < sessionOrderTime/2:
		f.toNew++
		fault = "to new"
	case isNew && f.agreedAt.IsZero():
		f.toNewLate++
	case !isNew && f.agreedAt.IsZero():
		f.toOld++
		fault = "to old"
	case !isNew:
		f.atTakeover++
		fault = "to old at the takeover"
	}
	if fault != "" && len(f.log) < 20 {
		f.log = append(f.log, fmt.Sprintf("%s: session %d at instance %d, %v after the order", fault, s.hash%10000, i, at))
	}
}

// decide lets the first instance decide about the order, and spreads what it decides.
func (f *sessionFleet) decideOnce() {
	f.after(300*time.Millisecond, f.decideOnce)
	for _, decision := range f.decide(0) {
		status := decision.Status
		if status.State == staging.Succeeded {
			f.agreedAt = f.clock.at
		}
		f.controllers[0].SetStatus(status)
		f.spread(func(c *staging.Controller) { c.SetStatus(status) })
	}
}

func (f *sessionFleet) run() {
	f.orderAfter(warmUp)
	f.runUntil(f.orderedAt.Add(sessionOrderTime + observedAfter))
}

// orderAfter runs the fleet for a time and then orders the new version.
func (f *sessionFleet) orderAfter(warmUp time.Duration) {
	f.runUntil(f.began.Add(warmUp))
	f.orderedAt = f.clock.at
	f.spread(func(c *staging.Controller) { c.ObserveVersions(service, []string{oldVersion, newVersion}) })
	f.spread(func(c *staging.Controller) {
		c.SetOrder(staging.Order{Service: service, Target: newVersion, Within: sessionOrderTime})
	})
	f.after(300*time.Millisecond, f.decideOnce)
}

// TestSessionsKeepTheirVersion guards against sessions that change their version during a
// rollout because the instances know different things about them, about the order or about
// the phase of its trial. Requests of a session come at random instances, with pauses up to
// the longest that the settings allow.
func TestSessionsKeepTheirVersion(t *testing.T) {
	for _, field := range strings.Split(*sessionSizes, ",") {
		size, err := strconv.Atoi(field)
		must.NoError(t, err)
		for seed := *sessionFirst; seed < *sessionFirst+*sessionSeeds; seed++ {
			sessionTime := []time.Duration{6500 * time.Millisecond, 8500 * time.Millisecond}[seed%2]
			t.Run(fmt.Sprintf("%d/seed-%d", size, seed), func(t *testing.T) {
				t.Parallel()
				f := newSessionFleet(size, seed, sessionTime)
				f.run()
				t.Logf("%d requests, %d on the new version; to new %d, to old %d, at the takeover %d", f.requests, f.exposed, f.toNew, f.toOld, f.atTakeover)
				for _, line := range f.log {
					t.Log(line)
				}
				must.False(t, f.agreedAt.IsZero())
				must.Positive(t, f.exposed)
				must.LessEq(t, exposure*float64(f.requests), float64(f.exposed))
				must.Zero(t, f.toNew)
				must.Zero(t, f.toOld)
				if size <= maxTakeoverSize {
					must.LessEq(t, maxAtTakeover, f.atTakeover)
				}
			})
		}
	}
}
