package reachability_test

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"medlarslip/internal/coordination/reachability"
)

// detectionTime is the time from a cut within which an instance must know of it: clients
// that keep an address for a second and those that keep it for three then leave in time.
const detectionTime = 1500 * time.Millisecond

// servers is a number of servers as seen by one instance.
type servers struct {
	monitor *reachability.Monitor
	// up is the number of servers that accept connections; the others refuse them, or let
	// them hang if silent is true.
	up         atomic.Int64
	silent     atomic.Bool
	inProgress atomic.Int64
	count      int
	// added is the number of servers that were added after the others and accept connections.
	added   atomic.Int64
	probes  atomic.Int64
	changes atomic.Int64
}

// addedAddress is the address of the first server that is added.
const addedAddress = 1000

func newServers(count int) *servers {
	s := &servers{count: count}
	s.up.Store(int64(count))
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	s.monitor = reachability.New(reachability.Options{
		Servers: s.list, Accepts: s.accepts, Changed: func() { s.changes.Add(1) }, Log: logrus.NewEntry(logger),
	})
	return s
}

func (s *servers) list() []reachability.Server {
	var list []reachability.Server
	for n := range s.count {
		list = append(list, reachability.Server{Address: fmt.Sprint(n), InProgress: int(s.inProgress.Load())})
	}
	for n := range s.added.Load() {
		list = append(list, reachability.Server{Address: fmt.Sprint(addedAddress + n)})
	}
	return list
}

func (s *servers) accepts(ctx context.Context, address string) bool {
	s.probes.Add(1)
	return s.connect(ctx, address)
}

// connect opens a connection to a server.
func (s *servers) connect(ctx context.Context, address string) bool {
	var number int64
	_, err := fmt.Sscan(address, &number)
	if err == nil && (number < s.up.Load() || number >= addedAddress) {
		s.monitor.Connected(address, time.Now())
		return true
	}
	if s.silent.Load() {
		<-ctx.Done()
	} else {
		s.monitor.Failed(address)
	}
	return false
}

// play runs the monitor in virtual time.
func play(t *testing.T, name string, count int, do func(t *testing.T, s *servers)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := newServers(count)
			s.monitor.Received()
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan error)
			go func() { done <- s.monitor.Run(ctx) }()
			do(t, s)
			cancel()
			must.NoError(t, <-done)
		})
	})
}

// TestCutIsFound guards against an instance that does not know that it reaches no server:
// all refuse connections, or requests in progress get no answer any more. It is known in
// time, and so is the end of the cut, with few probes.
func TestCutIsFound(t *testing.T) {
	for _, count := range []int{1, 3, 22, 600} {
		for _, silent := range []bool{false, true} {
			play(t, fmt.Sprint(count, " servers, silent ", silent), count, func(t *testing.T, s *servers) {
				s.inProgress.Store(1)
				time.Sleep(10 * time.Second)
				must.Zero(t, s.changes.Load())
				s.up.Store(0)
				s.silent.Store(silent)
				for n := range min(count, 5) {
					if !silent {
						s.connect(t.Context(), fmt.Sprint(n))
					}
				}
				time.Sleep(detectionTime)
				must.True(t, s.monitor.CutOff())
				before := s.probes.Load()
				time.Sleep(10 * time.Second)
				must.True(t, s.monitor.CutOff())
				must.LessEq(t, 50, s.probes.Load()-before)
				s.up.Store(int64(count))
				time.Sleep(detectionTime)
				must.False(t, s.monitor.CutOff())
				must.Eq(t, 2, s.changes.Load())
			})
		}
	}
}

// TestAddedServersEndACutAtOnce guards against an instance that takes itself for cut off
// where all servers have ended and others replace them. It cannot confirm the ends until it
// reaches a server, and the new ones may end soon under the same requests.
func TestAddedServersEndACutAtOnce(t *testing.T) {
	play(t, "replaced servers", 12, func(t *testing.T, s *servers) {
		time.Sleep(time.Second)
		s.up.Store(0)
		for n := range s.count {
			s.connect(t.Context(), fmt.Sprint(n))
		}
		time.Sleep(detectionTime)
		for range 10 {
			must.True(t, s.monitor.CutOff())
			// The servers are added just after a round of probes.
			for before := s.probes.Load(); s.probes.Load() == before; {
				time.Sleep(10 * time.Millisecond)
			}
			time.Sleep(10 * time.Millisecond)
			before := s.probes.Load()
			s.added.Store(12)
			time.Sleep(250 * time.Millisecond)
			must.False(t, s.monitor.CutOff())
			must.LessEq(t, 2, s.probes.Load()-before)
			s.added.Store(0)
			for n := range s.count {
				s.connect(t.Context(), fmt.Sprint(n))
			}
			time.Sleep(detectionTime)
		}
	})
}

// TestServersThatAreDownAreNoCut guards against leaving the directory where servers end,
// all requests are silent for a second, or there are no servers, while any server accepts
// connections.
func TestServersThatAreDownAreNoCut(t *testing.T) {
	play(t, "most servers are down", 22, func(t *testing.T, s *servers) {
		s.up.Store(17)
		for range 200 {
			for n := 17; n < 22; n++ {
				s.connect(t.Context(), fmt.Sprint(n))
			}
			time.Sleep(100 * time.Millisecond)
			must.False(t, s.monitor.CutOff())
		}
		must.LessEq(t, 300, s.probes.Load())
	})
	play(t, "a second of silence", 22, func(t *testing.T, s *servers) {
		s.inProgress.Store(2)
		for range 20 {
			time.Sleep(time.Second)
			must.False(t, s.monitor.CutOff())
			s.monitor.Received()
		}
	})
	play(t, "no servers", 0, func(t *testing.T, s *servers) {
		s.monitor.Failed("gone")
		time.Sleep(time.Minute)
		must.False(t, s.monitor.CutOff())
	})
}

// TestAcceptOfTheSameServerIsNotAwaited guards against a connection that a server accepted
// counting as a sign that others are reached, so that its refusals count as its end.
func TestAcceptOfTheSameServerIsNotAwaited(t *testing.T) {
	play(t, "other server", 2, func(t *testing.T, s *servers) {
		time.Sleep(time.Second)
		began := time.Now()
		for n, after := range []time.Duration{time.Second, 2 * time.Second} {
			time.AfterFunc(after, func() { s.connect(t.Context(), fmt.Sprint(n)) })
		}
		attempted := s.monitor.AwaitAccept(t.Context(), "0", began, began.Add(time.Minute), func() bool { return false })
		must.Eq(t, 2*time.Second, attempted.Sub(began))
	})
}
