// Package loadwatch keeps the load of the backend servers up to date. A few
// entry instances watch each server and read its metrics; what they read is
// spread by gossip with its age, so that no instance asks all servers.
package loadwatch

import (
	"cmp"
	"context"
	"expvar"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sync/errgroup"

	"medlarslip/internal/coordination/gossip"
	"medlarslip/internal/state/backends"
)

const (
	// tickInterval is the time between two looks at what is due.
	tickInterval = time.Second
	// readsPerSecond bounds what the whole fleet reads and spreads. The time
	// between two reads of a server follows from it.
	readsPerSecond = 60
	// readTimeout bounds one read of metrics.
	readTimeout = 800 * time.Millisecond
	// parallelReads bounds the reads of one instance at once.
	parallelReads = 8
	// watchers is how many instances watch a server; all but the first read
	// only once what the ones before them spread is overdue.
	watchers = 3
	// overduePeriods is the age of spread load, in periods, from which the
	// next watcher reads itself.
	overduePeriods = 3
	// refreshPeriods is how many periods load that has not changed goes
	// unspread.
	refreshPeriods = 4
)

// Counters of this package.
var (
	readCount   = expvar.NewInt("load_reads")
	readFailed  = expvar.NewInt("load_reads_failed")
	spreadCount = expvar.NewInt("load_spread")
)

// Reader reads the load of a server.
type Reader interface {
	Load(ctx context.Context, address string) (backends.Load, error)
}

// Gossip spreads load.
type Gossip interface {
	Publish(kind gossip.Kind, key string, value []byte, ageOf time.Duration, urgent bool)
	Get(kind gossip.Kind, key string) (gossip.Entry, time.Time, bool)
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
	// entryIDs are the instances that ranks were computed for.
	entryIDs []string
	ranks    map[string]int
	watched  map[string]*watched
}

// watched is a server that this instance has read.
type watched struct {
	readAt   time.Time
	spread   backends.Load
	spreadAt time.Time
}

// New returns a watcher that has read nothing.
func New(config Config) *Watcher {
	return &Watcher{config: config, ranks: map[string]int{}, watched: map[string]*watched{}}
}

// Period returns the time between two reads of one of so many servers.
func Period(servers int) time.Duration {
	return max(tickInterval, time.Duration(servers)*time.Second/readsPerSecond)
}

// Run watches until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			w.Tick(ctx)
		}
	}
}

// Tick reads the servers that are due.
func (w *Watcher) Tick(ctx context.Context) {
	all := w.config.Table.All()
	period := Period(len(all))
	w.prepare(all)
	var reads errgroup.Group
	reads.SetLimit(parallelReads)
	for _, backend := range all {
		server := backend.Snapshot()
		w.catchUp(backend, &server)
		if w.due(&server, period) {
			reads.Go(func() error {
				w.read(ctx, backend, &server, period)
				return nil
			})
		}
	}
	_ = reads.Wait() // the reads return no error
}

// prepare brings the ranks up to date and forgets servers that are gone.
func (w *Watcher) prepare(all []*backends.Backend) {
	entryIDs := w.config.EntryIDs()
	w.mu.Lock()
	defer w.mu.Unlock()
	changed := !slices.Equal(entryIDs, w.entryIDs)
	w.entryIDs = entryIDs
	ranks := make(map[string]int, len(all))
	for _, backend := range all {
		id := backend.Snapshot().Server.ID
		rank, known := w.ranks[id]
		if !known || changed {
			rank = rankOf(entryIDs, w.config.Self, id)
		}
		ranks[id] = rank
	}
	w.ranks = ranks
	for id := range w.watched {
		if _, ok := ranks[id]; !ok {
			delete(w.watched, id)
		}
	}
}

// rankOf returns the place of self among the watchers of a server, by
// rendezvous hashing, or -1.
func rankOf(entryIDs []string, self, server string) int {
	weight := func(id string) uint64 { return xxhash.Sum64String(id + "/watch/" + server) }
	own := weight(self)
	rank := 0
	for _, id := range entryIDs {
		above := cmp.Or(cmp.Compare(weight(id), own), strings.Compare(id, self))
		if id != self && above > 0 {
			rank++
		}
	}
	if rank >= watchers {
		return -1
	}
	return rank
}

// catchUp takes over load that was spread before the server was listed here.
func (w *Watcher) catchUp(backend *backends.Backend, server *backends.Snapshot) {
	if !server.Load.ReadAt.IsZero() {
		return
	}
	if entry, observed, ok := w.config.Gossip.Get(gossip.KindLoad, server.Server.ID); ok {
		apply(backend, &entry, observed)
	}
}

// due reports whether this instance should read a server now.
func (w *Watcher) due(server *backends.Snapshot, period time.Duration) bool {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	rank := w.ranks[server.Server.ID]
	if rank < 0 {
		return false
	}
	own := w.watched[server.Server.ID]
	if own != nil && now.Sub(own.readAt) < period {
		return false
	}
	overdue := time.Duration(rank*overduePeriods) * period
	return rank == 0 || now.Sub(server.Load.ReadAt) >= overdue+refreshPeriods*period
}

func (w *Watcher) read(ctx context.Context, backend *backends.Backend, server *backends.Snapshot, period time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	readCount.Add(1)
	load, err := w.config.Reader.Load(ctx, server.Server.Address)
	now := time.Now()
	w.mu.Lock()
	own := w.watched[server.Server.ID]
	if own == nil {
		own = &watched{}
		w.watched[server.Server.ID] = own
	}
	own.readAt = now
	spread := err == nil && (changed(&own.spread, &load) || now.Sub(own.spreadAt) >= refreshPeriods*period)
	if spread {
		own.spread, own.spreadAt = load, now
	}
	w.mu.Unlock()
	if err != nil {
		readFailed.Add(1)
		return
	}
	backend.SetLoad(load)
	if spread {
		spreadCount.Add(1)
		w.config.Gossip.Publish(gossip.KindLoad, server.Server.ID, encode(&load), now.Sub(load.ReadAt), false)
	}
}

// changed reports whether load differs enough to be worth spreading: by a
// quarter, or by two requests, or another run of the server.
func changed(old, load *backends.Load) bool {
	return old.Started != load.Started || differs(old.Running, load.Running) || differs(old.Waiting, load.Waiting)
}

func differs(old, count int) bool {
	const share, least = 4, 2
	difference := max(old-count, count-old)
	return difference >= least && difference*share >= old
}

// digest is the spread value of the load of a server.
type digest struct {
	_            struct{} `cbor:",toarray"`
	Running      uint32
	Waiting      uint32
	CachePercent uint8
	Started      uint32
}

const percent = 100

func encode(load *backends.Load) []byte {
	raw, err := cbor.Marshal(digest{
		Running: uint32(load.Running), Waiting: uint32(load.Waiting),
		CachePercent: uint8(load.CacheUse * percent), Started: load.Started,
	})
	if err != nil {
		panic(err) // the type always encodes
	}
	return raw
}

// apply notes spread load; what can't be decoded is passed over.
func apply(backend *backends.Backend, entry *gossip.Entry, observed time.Time) {
	var d digest
	if cbor.Unmarshal(entry.Value, &d) != nil {
		return
	}
	backend.SetLoad(backends.Load{
		Running: int(d.Running), Waiting: int(d.Waiting), CacheUse: float64(d.CachePercent) / percent,
		Started: d.Started, ReadAt: observed,
	})
}

// OnEntry takes notice of spread load.
func (w *Watcher) OnEntry(entry gossip.Entry, observed time.Time) {
	if entry.Kind != gossip.KindLoad {
		return
	}
	if backend := w.config.Table.Get(entry.Key); backend != nil {
		apply(backend, &entry, observed)
	}
}
