// Package reachability finds out whether this instance reaches any backend server. An
// instance that is cut off from all of them, while clients and peers still reach it, must
// not keep its clients. Breakers of single servers can't tell that from servers that are
// down.
package reachability

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// checkInterval is the time between two checks for signs that no server is reached.
	checkInterval = 200 * time.Millisecond
	// failureTime is how long a failure counts.
	failureTime = 2 * time.Second
	// minSilent is the number of servers that must fail, or be silent with requests in
	// progress, before others are probed.
	minSilent = 3
	// silenceTime is the time without a byte of any server after which they count as
	// silent.
	silenceTime = 600 * time.Millisecond
	// confirmProbes is the number of servers of which none may accept a connection for
	// this instance to count as cut off from all, or for AcceptsOther to be false, and
	// regainProbes the number that is probed while it is cut off.
	confirmProbes = 6
	regainProbes  = 2
	// probeInterval is the minimum time between two rounds of probes.
	probeInterval = 500 * time.Millisecond
	// probeTimeout bounds a probe: many round trips between failure domains.
	probeTimeout = 400 * time.Millisecond
)

// Server is a backend server that should be up.
type Server struct {
	Address string
	// InProgress is the number of requests in progress there.
	InProgress int
}

// Options configures a Monitor. All fields are required.
type Options struct {
	// Servers returns the servers of all services.
	Servers func() []Server
	// Accepts reports whether a server accepts a new connection.
	Accepts func(ctx context.Context, address string) bool
	// Changed is called when the instance is cut off, or no longer is.
	Changed func()
	Log     *logrus.Entry
}

// Monitor tells whether this instance reaches any backend server. It is safe for
// concurrent use.
type Monitor struct {
	opts Options
	wake chan struct{}
	// receivedAt is when a server last sent something, in nanoseconds since start.
	receivedAt atomic.Int64
	start      time.Time
	cutOff     atomic.Bool
	mu         sync.Mutex
	// failed holds when servers last failed, since one last accepted a connection.
	failed      map[string]time.Time
	connectedAt time.Time
	// attemptedAt is when the latest attempt to connect began that a server accepted, and
	// acceptedBy the address of that server.
	attemptedAt time.Time
	acceptedBy  string
	// accepted is closed when a server next accepts a connection, if awaited is true.
	accepted chan struct{}
	awaited  bool
}

// New returns a Monitor of an instance that is not cut off.
func New(opts Options) *Monitor {
	return &Monitor{opts: opts, wake: make(chan struct{}, 1), start: time.Now(), failed: map[string]time.Time{}, accepted: make(chan struct{})}
}

// CutOff reports whether this instance reaches no server.
func (m *Monitor) CutOff() bool { return m.cutOff.Load() }

// Received records that a server has sent something.
func (m *Monitor) Received() { m.receivedAt.Store(int64(time.Since(m.start))) }

// Connected records that the server at an address has accepted a new connection, which was
// attempted from began on.
func (m *Monitor) Connected(address string, began time.Time) {
	m.mu.Lock()
	clear(m.failed)
	m.connectedAt = time.Now()
	if began.After(m.attemptedAt) {
		m.attemptedAt, m.acceptedBy = began, address
	}
	if m.awaited {
		close(m.accepted)
		m.accepted, m.awaited = make(chan struct{}), false
	}
	m.mu.Unlock()
	if m.cutOff.CompareAndSwap(true, false) {
		m.opts.Log.WithField("event", "servers_reached").Warn("a backend server accepts connections again; taking clients")
		m.opts.Changed()
	}
}

// AcceptsOther reports whether a server other than the one at an address accepts a new
// connection now. It waits for probeTimeout at most.
func (m *Monitor) AcceptsOther(ctx context.Context, address string) bool {
	servers := slices.DeleteFunc(m.opts.Servers(), func(s Server) bool { return s.Address == address })
	began := time.Now()
	other, accepted := m.anyAccepts(ctx, servers, confirmProbes)
	if accepted {
		m.Connected(other, began)
	}
	return accepted
}

// awaitInterval is the interval at which Await and AwaitAccept look for contact.
const awaitInterval = 20 * time.Millisecond

// Await waits until a server has sent something or accepted a connection since the call. It
// reports false if ctx ends first.
func (m *Monitor) Await(ctx context.Context) bool {
	began := time.Now()
	for !m.contactSince(began) {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(awaitInterval):
		}
	}
	return true
}

// AwaitAccept waits until a server other than the one at an address has accepted a connection
// that was attempted from a moment on, and returns when the attempt began: at once, since the
// server may soon be gone. It returns zero if done returns true before, if ctx ends, or from
// next on if a server has sent something since that moment.
func (m *Monitor) AwaitAccept(ctx context.Context, address string, since, next time.Time, done func() bool) time.Time {
	for {
		by, attempted, accepted := m.latestAccept()
		switch {
		case by != address && !attempted.Before(since):
			return attempted
		case done() || (!time.Now().Before(next) && m.contactSince(since)):
			return time.Time{}
		}
		select {
		case <-ctx.Done():
			return time.Time{}
		case <-accepted:
		case <-time.After(awaitInterval):
		}
	}
}

// latestAccept returns the address of the server that accepted the latest attempt, when the
// attempt began, and a channel that is closed with the next one.
func (m *Monitor) latestAccept() (address string, attempted time.Time, next <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.awaited = true
	return m.acceptedBy, m.attemptedAt, m.accepted
}

func (m *Monitor) contactSince(began time.Time) bool {
	return m.connectedSince(began) || time.Duration(m.receivedAt.Load()) > began.Sub(m.start)
}

// connectedSince reports whether a server has accepted a connection since a moment.
func (m *Monitor) connectedSince(began time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.connectedAt.After(began)
}

// Failed records that a server refused a connection, or that a request there broke or got
// no response in time.
func (m *Monitor) Failed(address string) {
	m.mu.Lock()
	m.failed[address] = time.Now()
	suspicious := len(m.failed) >= minSilent
	m.mu.Unlock()
	if suspicious && !m.cutOff.Load() {
		m.wakeUp()
	}
}

func (m *Monitor) wakeUp() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// Run probes servers when there are signs that none is reached, until ctx ends.
func (m *Monitor) Run(ctx context.Context) error {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	var probedAt time.Time
	// known holds the addresses that were listed at the latest check in a cut; nil outside.
	var known map[string]bool
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-m.wake:
		case <-ticker.C:
		}
		if !m.CutOff() {
			known = nil
		} else if added := m.addedServers(&known); len(added) > 0 {
			m.probe(ctx, added, regainProbes)
			continue
		}
		failed, silent := m.signs()
		if time.Since(probedAt) < probeInterval || (!m.CutOff() && failed == 0 && !silent) {
			continue
		}
		servers := m.opts.Servers()
		count := confirmProbes
		switch {
		case m.CutOff():
			count = regainProbes
		case !suspicious(servers, failed, silent):
			continue
		}
		probedAt = time.Now()
		m.probe(ctx, servers, count)
	}
}

// addedServers returns the servers that were added to the list since the previous check in
// the same cut. Where all servers have ended, those that replace them show at once that they
// are reached, also if they end soon under the same requests.
func (m *Monitor) addedServers(known *map[string]bool) []Server {
	former, servers := *known, m.opts.Servers()
	*known = make(map[string]bool, len(servers))
	var added []Server
	for _, server := range servers {
		(*known)[server.Address] = true
		if former != nil && !former[server.Address] {
			added = append(added, server)
		}
	}
	return added
}

// signs returns the number of servers that have failed recently, and whether none has sent
// anything or accepted a connection.
func (m *Monitor) signs() (failed int, silent bool) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	for address, at := range m.failed {
		if now.Sub(at) >= failureTime {
			delete(m.failed, address)
		}
	}
	received := now.Sub(m.start) - time.Duration(m.receivedAt.Load())
	return len(m.failed), received >= silenceTime && now.Sub(m.connectedAt) >= silenceTime
}

// suspicious reports whether no server may be reached: enough of them have failed, or are
// silent with requests in progress.
func suspicious(servers []Server, failed int, silent bool) bool {
	busy := 0
	for i := range servers {
		if servers[i].InProgress > 0 {
			busy++
		}
	}
	needed := min(minSilent, len(servers))
	return needed > 0 && (failed >= needed || (silent && busy >= needed))
}

// probe opens connections to a number of servers at random. If none accepts one, the
// instance counts as cut off.
func (m *Monitor) probe(ctx context.Context, servers []Server, count int) {
	if len(servers) == 0 {
		return
	}
	began := time.Now()
	if address, accepted := m.anyAccepts(ctx, servers, count); accepted {
		m.Connected(address, began)
		return
	}
	if m.connectedSince(began) {
		return
	}
	if m.cutOff.CompareAndSwap(false, true) {
		m.opts.Log.WithFields(logrus.Fields{"event": "servers_unreachable", "probed": min(len(servers), count)}).Error("no backend server accepts connections; directing clients to other instances")
		m.opts.Changed()
	}
}

// anyAccepts reports whether any of a number of servers at random accepts a connection, and
// the address of the first that does.
func (m *Monitor) anyAccepts(ctx context.Context, servers []Server, count int) (address string, accepted bool) {
	rand.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
	servers = servers[:min(len(servers), count)]
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	type result struct {
		address  string
		accepted bool
	}
	results := make(chan result, len(servers))
	for _, server := range servers {
		go func() { results <- result{server.Address, m.opts.Accepts(ctx, server.Address)} }()
	}
	for range servers {
		if r := <-results; r.accepted {
			return r.address, true
		}
	}
	return "", false
}
