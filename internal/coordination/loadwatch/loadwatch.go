// Package loadwatch keeps the load of the backend servers up to date. A few
// entry instances watch each server and read its metrics; what they read is
// spread by gossip with its age, so that no instance asks all servers.
package loadwatch

import (
	"cmp"
	"context"
	"expvar"
	"fmt"
	"math/bits"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"medlarslip/internal/coordination/gossip"
	"medlarslip/internal/pause"
	"medlarslip/internal/state/backends"
)

const (
	// tickInterval is the time between two looks at what is due.
	tickInterval = time.Second
	// readsPerSecond bounds what the whole fleet reads. The time between two
	// reads of a server follows from it.
	readsPerSecond = 60
	// readTimeout bounds one read of metrics.
	readTimeout = 800 * time.Millisecond
	// parallelReads bounds the reads of one instance at once.
	parallelReads = 8
	// groupSize is how many servers, about, are watched and spread together.
	groupSize = 8
	// watchersPerGroup is how many instances watch a group; all but the first read
	// only once what the ones before them spread is overdue.
	watchersPerGroup = 3
	// overduePeriods is the age of spread load, in periods, from which the
	// next watcher reads itself.
	overduePeriods = 3
	// republishPeriods is how many periods load that has not changed goes
	// unspread.
	republishPeriods = 4
)

// Counters of this package.
var (
	readCount    = expvar.NewInt("load_reads")
	readFailed   = expvar.NewInt("load_reads_failed")
	publishCount = expvar.NewInt("load_spread")
)

// Reader reads the load of a server.
type Reader interface {
	Load(ctx context.Context, address string) (backends.Load, error)
}

// Gossip spreads load.
type Gossip interface {
	Publish(kind gossip.Kind, key string, value []byte, ageOf time.Duration, urgent bool)
}

// Config is what a Watcher is made of.
type Config struct {
	Self string
	// EntryIDs returns the entry instances that live.
	EntryIDs func() []string
	Table    *backends.Table
	Reader   Reader
	Gossip   Gossip
}

// Watcher watches the servers that fall to one instance. It is safe for
// concurrent use.
type Watcher struct {
	config Config

	mu sync.Mutex
	// byHash holds the listed servers by what names them in digests.
	byHash map[uint32]*backends.Backend
	groups map[string]*group
	// received holds the last spread load of each group.
	received map[string]received
}

// group is a group of servers as this instance watches it.
type group struct {
	servers     []*backends.Backend
	rank        int
	readAt      time.Time
	published   []digest
	publishedAt time.Time
}

type received struct {
	value    []byte
	observed time.Time
}

// New returns a watcher that has read nothing.
func New(config Config) *Watcher {
	return &Watcher{config: config, groups: map[string]*group{}, received: map[string]received{}}
}

// Period returns the time between two reads of one of so many servers.
func Period(servers int) time.Duration {
	return max(tickInterval, time.Duration(servers)*time.Second/readsPerSecond)
}

// Run watches until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	pause.Every(ctx, tickInterval, func() { w.Tick(ctx) })
	return nil
}

// Tick reads the groups that are due.
func (w *Watcher) Tick(ctx context.Context) {
	all := w.config.Table.All()
	period := Period(len(all))
	w.prepare(all)
	for key, g := range w.due(period) {
		w.read(ctx, key, g, period)
	}
}

// prepare brings groups and ranks up to date with the lists of servers and
// instances.
func (w *Watcher) prepare(all []*backends.Backend) {
	entryIDs := w.config.EntryIDs()
	w.mu.Lock()
	defer w.mu.Unlock()
	added := false
	byHash := make(map[uint32]*backends.Backend, len(all))
	groups := map[string]*group{}
	for _, backend := range all {
		hash := serverHash(backend.Snapshot().Server.ID)
		added = added || w.byHash[hash] != backend
		byHash[hash] = backend
		key := groupOf(hash, len(all))
		g := groups[key]
		if g == nil {
			g = w.rebuildGroup(key, entryIDs)
			groups[key] = g
		}
		g.servers = append(g.servers, backend)
	}
	w.byHash, w.groups = byHash, groups
	if !added {
		return
	}
	for _, r := range w.received {
		w.applyLocked(r.value, r.observed)
	}
}

// rebuildGroup returns a group without servers that remembers what was read.
func (w *Watcher) rebuildGroup(key string, entryIDs []string) *group {
	g := &group{rank: rankOf(entryIDs, w.config.Self, key)}
	if old := w.groups[key]; old != nil {
		g.readAt, g.published, g.publishedAt = old.readAt, old.published, old.publishedAt
	}
	return g
}

// groupOf returns the key of the group of a server among so many servers. The
// number of groups is a power of two, so that it seldom changes.
func groupOf(hash uint32, servers int) string {
	exponent := bits.Len(uint(max(servers/groupSize, 1)) - 1)
	return fmt.Sprintf("%d.%d", exponent, hash%(1<<exponent))
}

// serverHash names a server in digests.
func serverHash(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// rankOf returns the place of self among the watchers of a group, by
// rendezvous hashing, or -1.
func rankOf(entryIDs []string, self, key string) int {
	weight := func(id string) uint64 { return xxhash.Sum64String(id + "/watch/" + key) }
	own := weight(self)
	rank := 0
	for _, id := range entryIDs {
		above := cmp.Or(cmp.Compare(weight(id), own), strings.Compare(id, self))
		if id != self && above > 0 {
			rank++
		}
	}
	if rank >= watchersPerGroup {
		return -1
	}
	return rank
}

// due returns the groups that this instance should read now.
func (w *Watcher) due(period time.Duration) map[string]*group {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	due := map[string]*group{}
	for key, g := range w.groups {
		if g.rank < 0 || now.Sub(g.readAt) < period {
			continue
		}
		overdue := time.Duration(g.rank*overduePeriods+republishPeriods) * period
		if g.rank == 0 || now.Sub(g.newestRead()) >= overdue {
			due[key] = g
			g.readAt = now
		}
	}
	return due
}

// newestRead returns when the newest load of the group was read.
func (g *group) newestRead() time.Time {
	var newest time.Time
	for _, backend := range g.servers {
		if readAt := backend.Snapshot().Load.ReadAt; readAt.After(newest) {
			newest = readAt
		}
	}
	return newest
}

// read reads the servers of a group and spreads their load.
func (w *Watcher) read(ctx context.Context, key string, g *group, period time.Duration) {
	began := time.Now()
	digests := w.readAll(ctx, g.servers)
	now := time.Now()
	w.mu.Lock()
	publish := len(digests) > 0 && (changed(g.published, digests) || now.Sub(g.publishedAt) >= republishPeriods*period)
	if publish {
		g.published, g.publishedAt = digests, now
	}
	w.mu.Unlock()
	if publish {
		publishCount.Add(1)
		w.config.Gossip.Publish(gossip.KindLoad, key, encode(digests), now.Sub(began), false)
	}
}

// readAll reads servers and returns the digests of those that answered.
func (w *Watcher) readAll(ctx context.Context, servers []*backends.Backend) []digest {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	read := make([]*digest, len(servers))
	var reads errgroup.Group
	reads.SetLimit(parallelReads)
	for i, backend := range servers {
		reads.Go(func() error {
			read[i] = w.readOne(ctx, backend)
			return nil
		})
	}
	_ = reads.Wait() // the reads return no error
	var digests []digest
	for _, d := range read {
		if d != nil {
			digests = append(digests, *d)
		}
	}
	slices.SortFunc(digests, func(a, b digest) int { return cmp.Compare(a.Server, b.Server) })
	return digests
}

func (w *Watcher) readOne(ctx context.Context, backend *backends.Backend) *digest {
	readCount.Add(1)
	server := backend.Snapshot().Server
	load, err := w.config.Reader.Load(ctx, server.Address)
	if err != nil {
		readFailed.Add(1)
		return nil
	}
	backend.SetLoad(load)
	d := digestOf(server.ID, &load)
	return &d
}

// OnEntry takes notice of spread load.
func (w *Watcher) OnEntry(entry gossip.Entry, observed time.Time) {
	if entry.Kind != gossip.KindLoad {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.received[entry.Key] = received{value: entry.Value, observed: observed}
	w.applyLocked(entry.Value, observed)
	for key, r := range w.received {
		if time.Since(r.observed) > receivedRetention {
			delete(w.received, key)
		}
	}
}

// receivedRetention is how long spread load is kept for servers that are not listed
// yet.
const receivedRetention = 10 * time.Minute

func (w *Watcher) applyLocked(value []byte, observed time.Time) {
	for _, d := range decode(value) {
		if backend := w.byHash[d.Server]; backend != nil {
			backend.SetLoad(d.load(observed))
		}
	}
}
