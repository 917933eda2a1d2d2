package gateway

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"medlarslip/internal/boottime"
	"medlarslip/internal/coordination/quarantine"
	"medlarslip/internal/coordination/reachability"
)

// cutNetwork is the network between an instance and its servers a, which may have ended, and
// b, which is up.
type cutNetwork struct {
	Upstream
	// cutUntil is the end of a cut in which new connections are refused.
	cutUntil time.Time
	ended    bool
}

func (n *cutNetwork) isCut() bool { return time.Now().Before(n.cutUntil) }

func (n *cutNetwork) Refuses(_ context.Context, address string) bool {
	return n.isCut() || (n.ended && address == "a")
}

func (n *cutNetwork) accepts(_ context.Context, address string) bool {
	return !n.Refuses(context.Background(), address)
}

// TestRefusalsOfACutAreNoEnds guards against an instance that takes a server for ended since
// it was refused in a cut of the instance itself, while other connections live on, or just
// before the end of the cut, or since a peer takes the server for ended.
func TestRefusalsOfACutAreNoEnds(t *testing.T) {
	for name, c := range map[string]struct {
		cutFor time.Duration
		ended  bool
		// peer is true if a peer has reported the end.
		peer bool
	}{
		"a cut that goes on":            {cutFor: time.Minute},
		"a cut that ends soon":          {cutFor: 10 * time.Millisecond},
		"a server that has ended":       {ended: true},
		"a server that ended in a cut":  {cutFor: time.Second, ended: true},
		"an instance that is connected": {},
		"a peer that is wrong":          {peer: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				logger, _ := test.NewNullLogger()
				network := &cutNetwork{cutUntil: time.Now().Add(c.cutFor), ended: c.ended}
				monitor := reachability.New(reachability.Options{
					Servers: func() []reachability.Server {
						return []reachability.Server{{Address: "a"}, {Address: "b"}}
					},
					Accepts: network.accepts, Log: logrus.NewEntry(logger),
				})
				detector := quarantine.New(quarantine.Options{
					Now: boottime.Now, Log: logrus.NewEntry(logger), Changed: func() {},
					SettleTime: func() time.Duration { return time.Second }, First: func(string) bool { return true },
				})
				g := New(Options{Upstream: network, Reachability: monitor, Quarantine: detector, Log: logrus.NewEntry(logger)})
				if c.peer {
					detector.ServerEnded("a-1", boottime.Now())
				}
				check, _ := g.endedChecks.add("a-1", nil, time.Now())
				must.True(t, check)
				ctx, cancel := context.WithTimeout(t.Context(), 8*time.Second)
				defer cancel()
				// Connections that live on deliver bytes all the while.
				var living sync.WaitGroup
				living.Go(func() {
					for ; ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
						monitor.Received()
					}
				})
				g.checkEnded("a-1", "a", boottime.Now())
				_, end := g.endedChecks.add("a-1", nil, time.Now())
				cancel()
				living.Wait()
				must.Eq(t, c.ended, end != nil)
			})
		})
	}
}

// crashingNetwork is the network between an instance and its servers a, which has ended, and
// b, which others replace and which accepts connections for less than two round trips each
// time.
type crashingNetwork struct {
	Upstream
	upFrom []time.Time
}

const (
	// crashingWay is the transit time of a message.
	crashingWay = time.Millisecond
	crashingUp  = 3 * crashingWay
)

func (n *crashingNetwork) Refuses(_ context.Context, address string) bool {
	return !n.accepts(context.Background(), address)
}

func (n *crashingNetwork) accepts(_ context.Context, address string) bool {
	time.Sleep(crashingWay)
	now := time.Now()
	time.Sleep(crashingWay)
	return address == "b" && slices.ContainsFunc(n.upFrom, func(from time.Time) bool { return !now.Before(from) && now.Before(from.Add(crashingUp)) })
}

// TestEndsAreFoundWhereServersHardlyLast guards against ends of servers that are found seconds
// later, or never, since the other servers end soon after they have accepted a connection, and
// against ends that an instance does not find although a peer has.
func TestEndsAreFoundWhereServersHardlyLast(t *testing.T) {
	for name, c := range map[string]struct {
		// up lists when server b starts, and peer is when a peer finds the end; 0 for never.
		up          []time.Duration
		peer        time.Duration
		foundWithin time.Duration
	}{
		"two starts": {up: []time.Duration{time.Second, 1400 * time.Millisecond}, foundWithin: 1410 * time.Millisecond},
		"a peer":     {up: []time.Duration{time.Second}, peer: 1200 * time.Millisecond, foundWithin: 1250 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				network := &crashingNetwork{}
				for _, up := range c.up {
					network.upFrom = append(network.upFrom, began.Add(up))
				}
				logger, _ := test.NewNullLogger()
				log := logrus.NewEntry(logger)
				monitor := reachability.New(reachability.Options{
					Servers: func() []reachability.Server {
						return []reachability.Server{{Address: "a"}, {Address: "b"}}
					},
					Accepts: network.accepts, Log: log,
				})
				clock := func() boottime.Instant { return boottime.Instant(time.Since(began) + time.Hour) }
				detector := quarantine.New(quarantine.Options{
					Now: clock, Log: log, Changed: func() {},
					SettleTime: func() time.Duration { return time.Second }, First: func(string) bool { return true },
				})
				g := New(Options{Upstream: network, Reachability: monitor, Quarantine: detector, Clock: clock, Log: log})
				for _, up := range c.up {
					// A request that waits for a server.
					time.AfterFunc(up, func() {
						if attempted := time.Now(); network.accepts(t.Context(), "b") {
							monitor.Connected("b", attempted)
						}
					})
				}
				if c.peer > 0 {
					time.AfterFunc(c.peer, func() { detector.ServerEnded("a-1", clock()) })
				}
				check, _ := g.endedChecks.add("a-1", nil, time.Now())
				must.True(t, check)
				g.checkEnded("a-1", "a", clock())
				_, end := g.endedChecks.add("a-1", nil, time.Now())
				must.NotNil(t, end)
				must.LessEq(t, c.foundWithin, time.Since(began))
				time.Sleep(endedMemory)
			})
		})
	}
}

// slowNetwork is the network between an instance and its servers, of which those with b in
// their address are up. A connection takes longer than half of endedRefusalTime.
type slowNetwork struct {
	Upstream
	attempts atomic.Int64
}

func (n *slowNetwork) Refuses(_ context.Context, address string) bool {
	return !n.accepts(context.Background(), address)
}

func (n *slowNetwork) accepts(_ context.Context, address string) bool {
	n.attempts.Add(1)
	time.Sleep(endedRefusalTime * 6 / 10)
	return strings.HasPrefix(address, "b")
}

// TestChecksOfEndsOpenFewConnections guards against checks that open connections one after the
// other where connections are slow, so that no refusal counts: several hundred for each check.
func TestChecksOfEndsOpenFewConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		logger, _ := test.NewNullLogger()
		log := logrus.NewEntry(logger)
		network := &slowNetwork{}
		monitor := reachability.New(reachability.Options{
			Servers: func() []reachability.Server {
				return []reachability.Server{{Address: "a"}, {Address: "b1"}, {Address: "b2"}, {Address: "b3"}, {Address: "b4"}, {Address: "b5"}, {Address: "b6"}}
			},
			Accepts: network.accepts, Log: log,
		})
		detector := quarantine.New(quarantine.Options{
			Now: boottime.Now, Log: log, Changed: func() {},
			SettleTime: func() time.Duration { return time.Second }, First: func(string) bool { return true },
		})
		g := New(Options{Upstream: network, Reachability: monitor, Quarantine: detector, Log: log})
		ended, known := g.hasEnded("a-1", "a")
		must.False(t, ended)
		must.False(t, known)
		must.LessEq(t, 50, network.attempts.Load())
		time.Sleep(time.Second)
	})
}
