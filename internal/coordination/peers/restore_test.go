package peers_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/coordination/keyedlog"
	"medlarslip/internal/coordination/peers"
	"medlarslip/internal/pause"
)

var (
	restoreSizes = flag.String("restore.sizes", "1,8,60", "sizes of the fleets of TestConfigurationsOfARestoredStore")
	restoreSeeds = flag.Int("restore.seeds", 3, "number of seeds of TestConfigurationsOfARestoredStore for each size")
	restoreFirst = flag.Uint64("restore.first", 1, "first seed of TestConfigurationsOfARestoredStore")
)

// The platform's bounds for a configuration that was acknowledged.
const (
	// contactTime is the time without disturbance after which the bounds hold again.
	contactTime = 3 * time.Second
	// applyTime and largeApplyTime are the times in which a configuration must be in
	// force in a small and in a large fleet.
	applyTime      = 2 * time.Second
	largeApplyTime = 4 * time.Second
	// revokeTime is the time after which a revoked key must not be accepted, in touch
	// or not.
	revokeTime = 5 * time.Second
	// storeLatency is the time that the store takes to answer, and readWait how long
	// the leaders' reads wait for a change.
	storeLatency = 4 * time.Millisecond
	readWait     = 800 * time.Millisecond
	// leaderProofTimeout is the age of the proof from which a member reads itself.
	leaderProofTimeout = 2*readWait + 1500*time.Millisecond
	configurationKey   = "configuration"
)

var errStoreAway = errors.New("store is away")

// configurations is a store with the configurations of an operator.
type configurations struct {
	mu   sync.Mutex
	era  int64
	away bool
	// refuses is true while the store refuses the members and serves the operator, and
	// refused holds the members that it refuses while it serves the others.
	refuses bool
	refused map[string]bool
	records []keyedlog.Record
	// ackedAt holds when each version was first acknowledged.
	ackedAt map[int64]time.Time
	// stableSince is the end of the latest disturbance.
	stableSince time.Time
	calls       int
}

func newConfigurations() *configurations {
	s := &configurations{era: 1, ackedAt: map[int64]time.Time{}}
	s.write(1)
	return s
}

func (s *configurations) write(version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = append(s.records, keyedlog.Record{Key: configurationKey, Value: []byte(strconv.FormatInt(version, 10)), Offset: int64(len(s.records))})
	if _, known := s.ackedAt[version]; !known {
		s.ackedAt[version] = time.Now()
	}
}

// acked returns the highest version that was acknowledged before a moment.
func (s *configurations) acked(before time.Time) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	highest := int64(0)
	for version, at := range s.ackedAt {
		if at.Before(before) {
			highest = max(highest, version)
		}
	}
	return highest
}

// drill takes the store away for a time, after it has refused the members for a time. If
// restored is true, it comes back from a copy that ends at an offset, and the operator
// writes its newest version again after a delay.
func (s *configurations) drill(refuses, away time.Duration, restored bool, copied int, writeDelay time.Duration) {
	s.setRefuses(true)
	time.Sleep(refuses)
	s.setAway(true)
	s.setRefuses(false)
	time.Sleep(away)
	s.mu.Lock()
	if restored {
		s.records = s.records[:copied:copied]
		s.era++
	}
	s.mu.Unlock()
	s.setAway(false)
	time.Sleep(writeDelay)
	if restored {
		s.write(s.acked(time.Now()))
	}
}

func (s *configurations) setRefuses(refuses bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuses, s.stableSince = refuses, time.Now()
}

func (s *configurations) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away, s.stableSince = away, time.Now()
}

func (s *configurations) end() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.records)
}

// page returns the records from an offset on.
func (s *configurations) page(from int64) (*keyedlog.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	end := int64(len(s.records))
	switch {
	case s.away || s.refuses:
		return nil, errStoreAway
	case from > end:
		return nil, keyedlog.ErrExpired
	}
	return &keyedlog.Page{Records: append([]keyedlog.Record(nil), s.records[from:]...), Era: s.era, Next: end, End: end}, nil
}

func (s *configurations) countCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
}

// countCalls returns the number of calls so far.
func (s *configurations) countCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Read implements keyedlog.Store.
func (s *configurations) Read(ctx context.Context, _ string, from int64, wait time.Duration) (*keyedlog.Page, error) {
	s.countCall()
	time.Sleep(storeLatency / 2)
	for began := time.Now(); ; time.Sleep(5 * time.Millisecond) {
		page, err := s.page(from)
		if err != nil || len(page.Records) > 0 || time.Since(began) >= wait || ctx.Err() != nil {
			time.Sleep(storeLatency / 2)
			return page, err
		}
	}
}

// Newest implements keyedlog.Store.
func (s *configurations) Newest(context.Context, string) (*keyedlog.Page, error) {
	s.countCall()
	page, err := s.page(0)
	time.Sleep(storeLatency)
	if err == nil && len(page.Records) > 0 {
		page.Records = page.Records[len(page.Records)-1:]
	}
	return page, err
}

// storeOf is the store as one member reaches it.
type storeOf struct {
	*configurations
	member string
}

func (s *storeOf) isRefused() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused[s.member]
}

// Read implements keyedlog.Store. A read that waits when the member is refused fails at its
// end.
func (s *storeOf) Read(ctx context.Context, topic string, from int64, wait time.Duration) (*keyedlog.Page, error) {
	if !s.isRefused() {
		page, err := s.configurations.Read(ctx, topic, from, wait)
		if !s.isRefused() {
			return page, err
		}
	}
	return nil, errStoreAway
}

// Newest implements keyedlog.Store.
func (s *storeOf) Newest(ctx context.Context, topic string) (*keyedlog.Page, error) {
	if s.isRefused() {
		return nil, errStoreAway
	}
	return s.configurations.Newest(ctx, topic)
}

// setRefused makes the store refuse some members.
func (s *configurations) setRefused(members []*member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused = map[string]bool{}
	for _, m := range members {
		s.refused[m.self.Name] = true
	}
}

// Append implements keyedlog.Store. No test appends through it.
func (s *configurations) Append(context.Context, string, int64, ...keyedlog.Record) error {
	return errStoreAway
}

// versionReader is a Reader that keeps the highest version.
type versionReader struct {
	mu        sync.Mutex
	revisions keyedlog.Revisions
}

func (r *versionReader) Replace(records []keyedlog.Record) {
	for _, record := range records {
		r.Apply(record)
	}
}

func (r *versionReader) Merge(records []keyedlog.Record) {
	r.mu.Lock()
	r.revisions.Stored = 0
	r.mu.Unlock()
	r.Replace(records)
}

func (r *versionReader) Apply(record keyedlog.Record) {
	version, err := strconv.ParseInt(string(record.Value), 10, 64)
	if err != nil {
		panic(err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revisions.Stored = max(r.revisions.Stored, version)
	r.revisions.Known = max(r.revisions.Known, version)
}

func (r *versionReader) CaughtUp() {}

func (r *versionReader) current() keyedlog.Revisions {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revisions
}

// relay fetches records from members by their address.
type relay struct{ fleet *fleet }

// Fetch implements keyedlog.Relay.
func (r relay) Fetch(_ context.Context, address, _ string, from keyedlog.Position) (*keyedlog.RelayedPage, error) {
	time.Sleep(2 * delay)
	for _, m := range r.fleet.followers() {
		if m.self.PeerAddress == address {
			r.fleet.network.awaitResumed(address)
			return m.follower.Since(from)
		}
	}
	return nil, keyedlog.ErrNotKept
}

// startFollowingFleet starts a fleet whose members follow a store.
func startFollowingFleet(t *testing.T, size int) (*fleet, *configurations) {
	f, store := newFleet(t, size), newConfigurations()
	f.store = store
	for _, m := range f.members {
		f.start(m)
	}
	return f, store
}

// followers returns the members that follow configurations.
func (f *fleet) followers() []*member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*member(nil), f.following...)
}

// follow makes a member that is about to start follow a store.
func (f *fleet) follow(m *member, store *configurations) {
	startedAt := time.Now()
	m.versions = &versionReader{}
	m.follower = keyedlog.New(keyedlog.Options{
		Store: &storeOf{store, m.self.Name}, Topic: "configurations", Wait: readWait, Reader: m.versions, Revisions: m.versions.current, Relay: relay{f}, Log: quietLog, Clock: virtualClock,
		Leads: func() bool {
			timeout := time.Second
			if m.table.Large() {
				timeout = 2400 * time.Millisecond
			}
			return time.Since(startedAt) > 1300*time.Millisecond && (m.table.LeaderPosition() < peers.Leaders || m.table.LeaderSilence() > timeout || (virtualClock().Since(m.follower.ProvenAt()) > leaderProofTimeout && !m.follower.Incomplete()))
		},
		Standby: func() bool { return m.table.LeaderPosition() == 1 },
		Probes:  func() bool { return m.table.Leads() || m.table.LeadsByRank() },
		Changed: func() { m.table.Announce() },
	})
	m.startedAt = startedAt
	f.mu.Lock()
	f.following = append(f.following, m)
	f.mu.Unlock()
}

// runFollower runs the follower of a member until ctx ends.
func (m *member) runFollower(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { _ = m.follower.Run(ctx) })
	group.Go(func() { pause.Every(ctx, 200*time.Millisecond, m.follower.Wake) })
	group.Wait()
}

// describe adds what a member has applied to the payload of its datagrams.
func (m *member) describe(payload *peers.Payload) {
	position, revision := m.follower.AppliedRevision()
	payload.Applied, payload.Era, payload.Revision = map[string]int64{"configurations": position.Offset}, position.Era, revision
	if era, at, recent := m.follower.Restored(); recent {
		payload.Restored = &peers.Restore{Era: era, Age: virtualClock().Since(at)}
	}
}

func (m *member) proof() *peers.Proof {
	era, _, recent := m.follower.Restored()
	own := m.follower.OwnProof()
	if own == nil {
		return nil
	}
	return &peers.Proof{End: own.Position.Offset, Era: own.Position.Era, Age: virtualClock().Since(own.At), Settled: recent && era == own.Position.Era}
}

// peerAnswerTime is how long a member that starts waits for its peers.
const peerAnswerTime = 150 * time.Millisecond

// serves reports whether a member accepts keys.
func (m *member) serves() bool {
	asked := m.table.Answered() || time.Since(m.startedAt) > peerAnswerTime
	return asked && m.follower.Loaded() && virtualClock().Since(m.follower.ProvenAt()) < revokeTime
}

// watch checks all members until ctx ends. It returns the share of the checks at which a
// member refused keys.
func (f *fleet) watch(ctx context.Context, store *configurations) float64 {
	var checks, refused int
	known := map[*member]int64{}
	for ctx.Err() == nil {
		store.mu.Lock()
		stable := !store.away && !store.refuses && time.Since(store.stableSince) > contactTime
		store.mu.Unlock()
		for _, m := range f.followers() {
			if !m.serves() {
				// The start of a member is not what is measured.
				if time.Since(m.startedAt) > contactTime {
					checks++
					refused++
				}
				continue
			}
			checks++
			// The proof is read first, as by those that serve: a version that comes between the
			// two is newer than the proof says.
			proven := time.Now().Add(-virtualClock().Since(m.follower.ProvenAt()))
			version := m.versions.current().Known
			must.GreaterEq(f.t, known[m], version, must.Sprintf("%s: the configuration goes back", m.self.Name))
			known[m] = version
			must.GreaterEq(f.t, store.acked(time.Now().Add(-revokeTime)), version, must.Sprintf("%s: a revoked key is accepted", m.self.Name))
			must.GreaterEq(f.t, store.acked(proven), version, must.Sprintf("%s: a proof is wrong", m.self.Name))
			apply := applyTime
			if m.table.Large() {
				apply = largeApplyTime
			}
			if stable && !m.suspended.Load() && time.Since(m.startedAt) > contactTime {
				must.GreaterEq(f.t, store.acked(time.Now().Add(-apply)), version, must.Sprintf("%s: a configuration is not in force in time", m.self.Name))
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return float64(refused) / float64(max(checks, 1))
}

// restoreDay plays a day with two drills and returns the share of refusals and the number
// of calls of the store.
func restoreDay(f *fleet, seed uint64, restored bool) (refused float64, calls int) {
	random := rand.New(rand.NewPCG(seed, uint64(len(f.members))))
	between := func(random *rand.Rand, from, to time.Duration) time.Duration {
		return from + time.Duration(random.Int64N(int64(to-from)))
	}
	operator := rand.New(rand.NewPCG(seed, 2))
	store := newConfigurations()
	f.store = store
	joins := f.members[len(f.members)-1]
	starting := f.members
	if len(f.members) > 1 {
		starting = f.members[:len(f.members)-1]
	}
	for _, m := range starting {
		f.start(m)
	}
	time.Sleep(discoveryTime)
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { refused = f.watch(ctx, store) })
	group.Go(func() {
		for version := int64(2); ctx.Err() == nil; version++ {
			for store.isAway() {
				time.Sleep(5 * time.Millisecond)
			}
			store.write(version)
			pause.For(ctx, between(operator, 300*time.Millisecond, 2*time.Second))
		}
	})
	for drill := range 2 {
		copied := store.end()
		time.Sleep(between(random, 500*time.Millisecond, 6*time.Second))
		suspended := starting[random.IntN(len(starting))]
		suspendedFor, joinsAfter := between(random, 500*time.Millisecond, 3*time.Second), between(random, 0, 2*time.Second)
		group.Go(func() {
			suspended.suspended.Store(true)
			f.network.suspend(suspended.self.PeerAddress, suspendedFor)
			time.Sleep(contactTime)
			suspended.suspended.Store(false)
		})
		if drill == 1 && len(f.members) > 1 {
			group.Go(func() {
				time.Sleep(joinsAfter)
				f.start(joins)
			})
		}
		store.drill(max(0, between(random, -time.Second, time.Second)), between(random, 200*time.Millisecond, 1500*time.Millisecond), restored, copied, between(random, 0, 1500*time.Millisecond))
	}
	time.Sleep(15 * time.Second)
	cancel()
	group.Wait()
	return refused, store.countCalls()
}

func (s *configurations) isAway() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away
}

// TestConfigurationsOfARestoredStore guards against instances that take the records of a
// restored store, or proofs about them, for those of the history that they have read. It
// prints what a drill costs beside an outage of the same length.
func TestConfigurationsOfARestoredStore(t *testing.T) {
	for _, size := range parseSizes(t, *restoreSizes) {
		for seed := *restoreFirst; seed < *restoreFirst+uint64(*restoreSeeds); seed++ {
			for _, restored := range []bool{true, false} {
				t.Run(fmt.Sprintf("%d instances seed %d restored %v", size, seed, restored), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						f := newFleet(t, size)
						refused, calls := restoreDay(f, seed, restored)
						t.Logf("refused %.4f of the time, %d calls of the store", refused, calls)
						f.stop()
					})
				})
			}
		}
	}
}

// TestConfigurationsArriveWhileServersStateLimits guards against rate limits that change
// all the time, and requests that wait for permits, delaying what instances tell each
// other about the configuration.
func TestConfigurationsArriveWhileServersStateLimits(t *testing.T) {
	for _, size := range parseSizes(t, *restoreSizes) {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, store := startFollowingFleet(t, size)
				time.Sleep(discoveryTime)
				server := newLimitedServer(uint64(size))
				server.load(f, f.members, 200/float64(size))
				ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
				defer cancel()
				var group sync.WaitGroup
				group.Go(func() {
					for n := 0; ctx.Err() == nil; n++ {
						server.state(float64(n%4) - 1)
						pause.For(ctx, 200*time.Millisecond)
					}
				})
				group.Go(func() {
					for version := int64(2); ctx.Err() == nil; version++ {
						store.write(version)
						pause.For(ctx, 700*time.Millisecond)
					}
				})
				refused := f.watch(ctx, store)
				group.Wait()
				must.Zero(t, refused)
				f.stop()
			})
		})
	}
}
